#include "backend_connection.h"

#include <algorithm>

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
    // Without it a kept-alive request takes 26 ms: the delayed acknowledgement
    // of the peer holds back the second part of the request.
    set_tcp_nodelay(true);
    set_url_encode(false);
    set_decompress(false);
    set_address_family(
        host.find(':') == std::string::npos ? AF_INET : AF_INET6);
}

exchange_result backend_connection::exchange(
    backend_job& job, const std::atomic<bool>& cancelled)
{
    auto left = job.deadline - time_.now();
    if (left <= duration::zero())
        return {exchange_status::timed_out, false, 0, {}};
    set_connection_timeout(std::min<duration>(left, connect_timeout_));

    httplib::Request request;
    request.method = job.post ? "POST" : "GET";
    request.path = job.path;
    if (!job.request_id.empty())
        request.headers.emplace("X-Request-Id", job.request_id);
    for (auto& [name, value] : job.headers)
        request.headers.emplace(std::move(name), std::move(value));
    if (job.post)
        request.headers.emplace("Content-Type", "application/json");
    request.body = std::move(job.body);

    job_ = &job;
    cancelled_ = &cancelled;
    stream_.reset();
    httplib::Response response;
    auto error = httplib::Error::Success;
    bool answered = send(request, response, error);
    return classify(answered, response);
}

exchange_result
backend_connection::classify(bool answered, httplib::Response& response)
{
    using failure = backend_stream::failure;
    exchange_result made;
    made.may_have_left = stream_.may_have_left();
    if (answered)
    {
        made.status = exchange_status::replied;
        made.http_status = response.status;
        made.body = std::move(response.body);
        return made;
    }
    switch (stream_.first_failure())
    {
    case failure::refused:
        made.status = exchange_status::not_sent;
        break;
    case failure::timed_out:
        made.status = exchange_status::timed_out;
        break;
    case failure::none:
    case failure::broken:
        made.status = made.may_have_left ? exchange_status::connection_lost
                                         : exchange_status::connect_failed;
        break;
    }
    return made;
}

bool backend_connection::process_socket(
    const Socket& socket, std::function<bool(httplib::Stream&)> callback)
{
    stream_.begin(
        socket.sock, time_, job_->deadline, job_->permit, *cancelled_);
    return callback(stream_);
}

} // namespace turmericlane
