#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace turmericlane
{

/** A fixed number of network threads, each with its own io_context.

    A socket belongs to one thread for its whole life, so that its handlers need
    no lock against each other.

    @see peer_session
*/
class io_threads
{
public:
    /** Creates the contexts but starts no thread.
        @param count  number of threads; at least 1 */
    explicit io_threads(std::size_t count);

    /** Joins the threads. */
    ~io_threads();
    io_threads(const io_threads&) = delete;
    io_threads& operator=(const io_threads&) = delete;

    /** Starts the threads. */
    void start();

    /** Lets each thread end when its context has no work left, and joins the
        threads. Sockets and timers must be closed before. */
    void join();

    /** Returns the contexts in round-robin order. Any thread may call. */
    boost::asio::io_context& next_context() noexcept;

    /** Returns the context on which connections are accepted. */
    boost::asio::io_context& first_context() noexcept;

private:
    using work_guard = boost::asio::executor_work_guard<
        boost::asio::io_context::executor_type>;

    std::vector<std::unique_ptr<boost::asio::io_context>> contexts_;
    std::vector<work_guard> work_guards_;
    std::vector<std::thread> threads_;
    std::atomic<std::size_t> next_index_{0};
};

} // namespace turmericlane
