#include "platform_client.h"

#include <turmericlane_net/http/http_client.h>

#include <cassert>
#include <csignal>

namespace turmericlane
{

namespace
{

constexpr std::chrono::milliseconds connect_timeout{500};

/** Interval at which stop() cancels the read again. A read that starts right
    after the first cancellation would otherwise delay stop() until its
    timeout. */
constexpr std::chrono::milliseconds stop_retry_period{20};

/** Blocks SIGPIPE in the calling thread. The HTTP library sends without
    MSG_NOSIGNAL, and stop() shuts the connection down while this thread may be
    writing to it. */
void block_broken_pipe_signal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGPIPE);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

} // namespace

platform_client::platform_client(host_port address)
    : address_(std::move(address))
    , client_(std::make_unique<http_client>(address_.host, address_.port))
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
        is_stopping_ = true;
        state_changed_.notify_all();
        while (!is_finished_)
        {
            lock.unlock();
            client_->stop();
            lock.lock();
            state_changed_.wait_for(
                lock, stop_retry_period, [this] { return is_finished_; });
        }
    }
    thread_.join();
}

void platform_client::get(
    std::string path,
    std::chrono::milliseconds timeout,
    handler completion_handler)
{
    {
        std::lock_guard lock(mutex_);
        assert(pending_request_ == nullptr);
        pending_request_ = std::make_unique<request>(
            request{std::move(path), timeout, std::move(completion_handler)});
    }
    state_changed_.notify_all();
}

void platform_client::run()
{
    block_broken_pipe_signal();
    while (true)
    {
        std::unique_ptr<request> current_request;
        {
            std::unique_lock lock(mutex_);
            state_changed_.wait(
                lock, [this] { return is_stopping_ || pending_request_; });
            if (is_stopping_)
            {
                is_finished_ = true;
                state_changed_.notify_all();
                return;
            }
            current_request = std::move(pending_request_);
        }
        current_request->completion_handler(read(*current_request));
    }
}

platform_answer platform_client::read(const request& read_request)
{
    client_->set_read_timeout(read_request.timeout);
    auto reply = client_->Get(read_request.path);
    if (!reply)
        return {0, {}, httplib::to_string(reply.error())};
    return {reply->status, std::move(reply->body), {}};
}

} // namespace turmericlane
