#pragma once

#include "../settings/instance_settings.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace turmericlane
{

class http_client;

/** Answer of a service of the platform. */
struct platform_answer
{
    /** HTTP status; 0 if there was no valid answer. */
    int status = 0;
    std::string body;
    /** Reason why there was no answer. */
    std::string error;
};

/** Reads a service of the platform over HTTP, one read at a time, on its own
    thread.

    Any thread may call get and stop.

    @see version_service, member_service
*/
class platform_client
{
public:
    using handler = std::function<void(platform_answer)>;

    explicit platform_client(host_port address);
    ~platform_client();
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;

    /** Starts the thread. */
    void start();

    /** Cancels a running read and joins the thread. */
    void stop();

    /** Starts a read of a path. No other read may be pending or running.
        @param timeout             timeout of the read once connected
        @param completion_handler  called on the client's thread */
    void
    get(std::string path,
        std::chrono::milliseconds timeout,
        handler completion_handler);

private:
    struct request
    {
        std::string path;
        std::chrono::milliseconds timeout{};
        handler completion_handler;
    };

    void run();
    platform_answer read(const request& read_request);

    host_port address_;
    std::mutex mutex_;
    std::condition_variable state_changed_;
    std::unique_ptr<request> pending_request_;
    bool is_stopping_ = false;
    bool is_finished_ = false;
    std::unique_ptr<http_client> client_;
    std::thread thread_;
};

} // namespace turmericlane
