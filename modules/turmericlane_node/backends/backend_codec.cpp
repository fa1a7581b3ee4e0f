#include "backend_codec.h"

#include "search_reply_parser.h"

#include <nlohmann/json.hpp>

namespace turmericlane
{

namespace
{

using nlohmann::json;

constexpr int http_ok = 200;
constexpr int http_conflict = 409;
constexpr int http_unavailable = 503;
constexpr int http_deadline = 504;

std::uint64_t read_number(const json& object, const char* name)
{
    const auto it = object.find(name);
    if (it == object.end() || !it->is_number_unsigned())
        return 0;
    return it->get<std::uint64_t>();
}

backend_status status_of_failure(exchange_status status)
{
    switch (status)
    {
    case exchange_status::connect_failed:
    case exchange_status::not_sent:
        return backend_status::connect_failed;
    case exchange_status::timed_out:
        return backend_status::timed_out;
    case exchange_status::cancelled:
        return backend_status::cancelled;
    default:
        return backend_status::connection_lost;
    }
}

backend_status status_of_reply(int http_status, std::string_view body)
{
    switch (http_status)
    {
    case http_ok:
        return backend_status::ok;
    case http_conflict:
        return backend_status::snapshot_gone;
    case http_unavailable:
        return rejection_reason(body) == reason::server_draining
                   ? backend_status::draining
                   : backend_status::shed;
    case http_deadline:
        return backend_status::deadline;
    default:
        return backend_status::bad_reply;
    }
}

} // namespace

std::string backend_request_id(const backend_request& request, attempt_id id)
{
    std::string text = std::to_string(request.id.nonce);
    for (auto it :
         {request.id.counter, std::uint64_t{request.group.service},
          std::uint64_t{request.group.partition}, std::uint64_t{id}})
        text.append("-").append(std::to_string(it));
    return text;
}

backend_job encode_search(const backend_request& request, attempt_id id)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    backend_job job;
    job.path = "/search";
    job.request_id = backend_request_id(request, id);
    const auto time_left = duration_cast<milliseconds>(request.time_left);
    job.headers = {
        {"X-Deadline-Ms", std::to_string(time_left.count())},
        {"X-Snapshot", std::to_string(request.snapshot)},
        {"X-Epoch", std::to_string(request.epoch)},
        {"X-Rank", std::string(to_string(request.request_rank))}};
    // Only the query needs escaping; for the rest, building a JSON document
    // would cost more than appending text.
    job.body = "{\"limit\":" + std::to_string(request.limit);
    job.body.append(",\"partition\":");
    job.body.append(std::to_string(request.group.partition));
    job.body.append(",\"service\":");
    job.body.append(std::to_string(request.group.service));
    job.body.append(",\"query\":");
    job.body.append(json(request.query)
                        .dump(-1, ' ', false, json::error_handler_t::replace));
    job.body.push_back('}');
    return job;
}

backend_reply decode_search(const exchange_result& exchange)
{
    backend_reply reply;
    if (exchange.status != exchange_status::replied)
    {
        reply.status = status_of_failure(exchange.status);
        return reply;
    }
    reply.status = status_of_reply(exchange.http_status, exchange.body);
    search_reply_parser parser(reply);
    const auto is_parsed = parser.parse(exchange.body);
    const auto is_body_needed = reply.status == backend_status::ok ||
                                reply.status == backend_status::snapshot_gone;
    if (!is_parsed && is_body_needed)
        reply.status = backend_status::bad_reply;
    if (reply.status != backend_status::ok)
        reply.hits.clear();
    else if (reply.snapshot == 0 || !parser.has_hits())
        reply.status = backend_status::bad_reply;
    return reply;
}

std::optional<load_report>
decode_load(searcher_id server, std::string_view body)
{
    const auto document = json::parse(body, nullptr, false);
    if (!document.is_object())
        return std::nullopt;
    const auto load = document.find("load");
    if (load == document.end() || !load->is_number())
        return std::nullopt;
    load_report report;
    report.server = server;
    report.load = std::clamp(load->get<double>(), 0.0, 1.0);
    report.in_flight =
        static_cast<std::uint32_t>(read_number(document, "in_flight"));
    report.queued_requests =
        static_cast<std::uint32_t>(read_number(document, "queue"));
    const auto draining = document.find("draining");
    report.is_draining = draining != document.end() && draining->is_boolean() &&
                         draining->get<bool>();
    report.served_snapshots = {
        read_number(document, "oldest"), read_number(document, "newest")};
    return report;
}

reason rejection_reason(std::string_view body)
{
    return body.find("draining") != std::string_view::npos
               ? reason::server_draining
               : reason::shed_by_server;
}

} // namespace turmericlane
