#include "io_threads.h"

#include <cassert>

namespace turmericlane
{

io_threads::io_threads(std::size_t count)
{
    assert(count >= 1);
    contexts_.reserve(count);
    for (std::size_t n = 0; n < count; ++n)
        contexts_.push_back(std::make_unique<boost::asio::io_context>(1));
}

io_threads::~io_threads()
{
    join();
}

void io_threads::start()
{
    assert(threads_.empty());
    work_guards_.reserve(contexts_.size());
    threads_.reserve(contexts_.size());
    for (auto& it : contexts_)
    {
        work_guards_.emplace_back(it->get_executor());
        threads_.emplace_back([&context = *it] { context.run(); });
    }
}

void io_threads::join()
{
    work_guards_.clear();
    for (auto& it : threads_)
        it.join();
    threads_.clear();
}

boost::asio::io_context& io_threads::next_context() noexcept
{
    auto n = next_index_.fetch_add(1, std::memory_order_relaxed);
    return *contexts_[n % contexts_.size()];
}

boost::asio::io_context& io_threads::first_context() noexcept
{
    return *contexts_.front();
}

} // namespace turmericlane
