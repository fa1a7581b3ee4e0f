#include "platform_client.h"

#include <httplib.h>

#include <cassert>
#include <csignal>

namespace turmericlane
{

namespace
{

constexpr std::chrono::milliseconds connect_timeout{500};

/** How often a stop breaks off the read again: a read that begins right after
    the first time would otherwise hold the stop up until its time-out. */
constexpr std::chrono::milliseconds stop_period{20};

/** The library sends without MSG_NOSIGNAL, and a stop shuts the connection down
    while this thread may write to it. */
void block_broken_pipe_signal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGPIPE);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

} // namespace

platform_client::platform_client(host_port where)
    : where_(std::move(where))
    , client_(std::make_unique<httplib::Client>(where_.host, where_.port))
{
    client_->set_tcp_nodelay(true);
    client_->set_keep_alive(true);
    client_->set_connection_timeout(connect_timeout);
}

platform_client::~platform_client()
{
    stop();
}

void platform_client::start()
{
    assert(!thread_.joinable());
    thread_ = std::thread([this] { run(); });
}

void platform_client::stop()
{
    if (!thread_.joinable())
        return;
    {
        std::unique_lock lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
        while (!finished_)
        {
            lock.unlock();
            client_->stop();
            lock.lock();
            changed_.wait_for(lock, stop_period, [this] { return finished_; });
        }
    }
    thread_.join();
}

void platform_client::get(
    std::string path, std::chrono::milliseconds timeout, handler done)
{
    {
        std::lock_guard lock(mutex_);
        assert(next_ == nullptr);
        next_ = std::make_unique<request>(
            request{std::move(path), timeout, std::move(done)});
    }
    changed_.notify_all();
}

void platform_client::run()
{
    block_broken_pipe_signal();
    while (true)
    {
        std::unique_ptr<request> taken;
        {
            std::unique_lock lock(mutex_);
            changed_.wait(lock, [this] { return stopping_ || next_; });
            if (stopping_)
            {
                finished_ = true;
                changed_.notify_all();
                return;
            }
            taken = std::move(next_);
        }
        taken->done(read(*taken));
    }
}

platform_answer platform_client::read(const request& what)
{
    client_->set_read_timeout(what.timeout);
    auto got = client_->Get(what.path);
    if (!got)
        return {0, {}, httplib::to_string(got.error())};
    return {got->status, std::move(got->body), {}};
}

} // namespace turmericlane
