#include "backend_connection.h"

#include "../http/response_stream.h"

#include <algorithm>

#include <sys/socket.h>

namespace turmericlane
{

backend_connection::backend_connection(
    const std::string& host,
    std::uint16_t port,
    const clock& time,
    std::chrono::milliseconds connect_timeout)
    : httplib::ClientImpl(host, port)
    , time_(time)
    , connect_timeout_(connect_timeout)
{
    set_keep_alive(true);
    // Without it a request on a kept-alive connection takes 26 ms: Nagle's
    // algorithm holds the second segment back until the server's delayed
    // acknowledgement arrives.
    set_tcp_nodelay(true);
    set_url_encode(false);
    set_decompress(false);
    set_address_family(
        host.find(':') == std::string::npos ? AF_INET : AF_INET6);
}

exchange_result backend_connection::exchange(
    backend_job& job, const std::atomic<bool>& is_cancelled)
{
    auto remaining = job.deadline - time_.now();
    if (remaining <= duration::zero())
        return {exchange_status::timed_out, false, 0, {}};
    set_connection_timeout(std::min<duration>(remaining, connect_timeout_));

    httplib::Request request;
    request.method = job.is_post ? "POST" : "GET";
    request.path = job.path;
    if (!job.request_id.empty())
        request.headers.emplace("X-Request-Id", job.request_id);
    for (auto& [name, value] : job.headers)
        request.headers.emplace(std::move(name), std::move(value));
    if (job.is_post)
        request.headers.emplace("Content-Type", "application/json");
    request.body = std::move(job.body);

    job_ = &job;
    is_cancelled_ = &is_cancelled;
    // Bytes that no request has asked for would be taken for the reply.
    if (has_unread_bytes())
        stop();
    stream_.reset();
    httplib::Response response;
    auto error = httplib::Error::Success;
    bool has_reply = send(request, response, error);
    if (has_reply && !is_reply_to(job, response))
    {
        // A late copy of an earlier reply; the one to this request is lost.
        stop();
        return {exchange_status::connection_lost, true, 0, {}};
    }
    return make_result(has_reply, response);
}

bool backend_connection::has_unread_bytes() const
{
    if (stream_.is_readable())
        return true;
    if (!socket_.is_open())
        return false;
    char byte = 0;
    return recv(socket_.sock, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool backend_connection::is_reply_to(
    const backend_job& job, const httplib::Response& response)
{
    const auto echoed_id = response.get_header_value("X-Request-Id");
    return echoed_id.empty() || echoed_id == job.request_id;
}

exchange_result
backend_connection::make_result(bool has_reply, httplib::Response& response)
{
    using failure = backend_stream::failure;
    exchange_result result;
    result.may_have_been_sent = stream_.may_have_been_sent();
    if (has_reply)
    {
        result.status = exchange_status::replied;
        result.http_status = response.status;
        result.body = std::move(response.body);
        return result;
    }
    switch (stream_.first_failure())
    {
    case failure::refused:
        result.status = exchange_status::not_sent;
        break;
    case failure::timed_out:
        result.status = exchange_status::timed_out;
        break;
    case failure::none:
    case failure::broken:
        result.status = result.may_have_been_sent
                            ? exchange_status::connection_lost
                            : exchange_status::connect_failed;
        break;
    }
    return result;
}

bool backend_connection::process_socket(
    const Socket& socket, std::function<bool(httplib::Stream&)> callback)
{
    stream_.begin_exchange(
        socket.sock, time_, job_->deadline, job_->send_condition,
        *is_cancelled_);
    response_stream checked_stream(stream_);
    return callback(checked_stream);
}

} // namespace turmericlane
