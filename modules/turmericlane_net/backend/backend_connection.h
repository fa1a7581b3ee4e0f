#pragma once

#include "backend_job.h"
#include "backend_stream.h"

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <string>

namespace turmericlane
{

/** One kept-alive HTTP connection to a backend server.

    It connects when a job needs it, and reconnects if the server has closed the
    connection between two jobs. It never sends a job twice. Not thread-safe.

    @see backend_server_queue
*/
class backend_connection final : private httplib::ClientImpl
{
public:
    /** @param host             numeric IP address
        @param time             must outlive the connection
        @param connect_timeout  limit for one connect, besides the job's
                                deadline */
    backend_connection(
        const std::string& host,
        std::uint16_t port,
        const clock& time,
        std::chrono::milliseconds connect_timeout);

    /** Sends a job's request and waits for the reply. Does not call the job's
        completion handler. Moves the headers and the body out of the job.
        @param is_cancelled  if it is set before the first byte, nothing is
                             sent */
    exchange_result
    exchange(backend_job& job, const std::atomic<bool>& is_cancelled);

private:
    /** True if the server has sent bytes that belong to no request. */
    bool has_unread_bytes() const;
    /** True unless the reply echoes the id of another request. */
    static bool
    is_reply_to(const backend_job& job, const httplib::Response& response);
    exchange_result make_result(bool has_reply, httplib::Response& response);
    bool process_socket(
        const Socket& socket,
        std::function<bool(httplib::Stream&)> callback) override;

    const clock& time_;
    std::chrono::milliseconds connect_timeout_;
    backend_stream stream_;
    const backend_job* job_ = nullptr;
    const std::atomic<bool>* is_cancelled_ = nullptr;
};

} // namespace turmericlane
