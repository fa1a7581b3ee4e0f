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

    It connects when a job needs it, and again when the server has closed it
    between two jobs. It never sends a job twice. One thread uses it.

    @see backend_server_queue
*/
class backend_connection final : private httplib::ClientImpl
{
public:
    /** @param host  numeric IP address
        @param time  must outlive the connection */
    backend_connection(
        const std::string& host,
        std::uint16_t port,
        const clock& time,
        std::chrono::milliseconds connect_timeout);

    /** Runs a job to its end; done is not called. Takes the headers and the
       body out of the job.
        @param cancelled  nothing is sent if it is set before the first byte */
    exchange_result
    exchange(backend_job& job, const std::atomic<bool>& cancelled);

private:
    exchange_result classify(bool answered, httplib::Response& response);
    bool process_socket(
        const Socket& socket,
        std::function<bool(httplib::Stream&)> callback) override;

    const clock& time_;
    std::chrono::milliseconds connect_timeout_;
    backend_stream stream_;
    const backend_job* job_ = nullptr;
    const std::atomic<bool>* cancelled_ = nullptr;
};

} // namespace turmericlane
