#include "search_api.h"

#include "field_reader.h"

namespace turmericlane
{

namespace
{

constexpr std::string_view search_fields[] = {
    "request_id", "services", "query", "rank", "deadline_ms", "limit"};

constexpr std::size_t max_request_id_bytes = 128;
constexpr std::size_t max_query_bytes = 4096;
constexpr std::size_t max_services = 64;
constexpr std::int64_t max_hits = 1000;
constexpr std::int64_t default_hits = 10;

} // namespace

result<search_request, api_error> parse_search(
    std::string_view body, const bundle& bundle_in_force, time_point now)
{
    using parse_result = result<search_request, api_error>;
    field_reader reader(body, search_fields);
    search_request request;
    request.caller_request_id =
        reader.read_text("request_id", 1, max_request_id_bytes);
    const auto names = reader.read_texts("services", max_services);
    request.query = reader.read_text("query", 1, max_query_bytes);
    request.request_rank = reader.read_rank("rank");
    const auto& policy = bundle_in_force.ranks[index_of(request.request_rank)];
    request.deadline =
        now + reader.read_time_left("deadline_ms", policy.default_deadline);
    request.limit = static_cast<std::uint32_t>(
        reader.read_integer("limit", 1, max_hits, default_hits));
    for (const auto& it : names)
    {
        const auto* found_service = bundle_in_force.find_service(it);
        if (found_service == nullptr)
        {
            reader.set_error(
                reason::unknown_service, "service '" + it + "' is not known");
            break;
        }
        request.services.push_back(found_service->id);
    }
    if (reader.error())
        return parse_result::failure(*reader.error());
    return request;
}

std::string to_json(const search_answer& answer, const bundle& bundle_in_force)
{
    nlohmann::json object;
    object["verdict"] = to_string(answer.state.result);
    object["reason"] = to_string(answer.state.cause);
    object["request_id"] = answer.caller_request_id;
    object["bundle_version"] = answer.bundle_version;
    object["snapshot"] = answer.snapshot;
    object["sub_requests_sent"] = answer.sub_requests_sent;
    object["missing"] = to_string(answer.missing_reason);
    auto services = nlohmann::json::object();
    for (const auto& it : answer.coverage)
    {
        const auto* found_service = bundle_in_force.find_service(it.service);
        auto name = found_service != nullptr ? found_service->name
                                             : std::to_string(it.service);
        services[name] = {
            {"answered", it.answered_groups}, {"total", it.total_groups}};
    }
    object["coverage"] = {
        {"overall", answer.overall_coverage()},
        {"services", std::move(services)}};
    auto hits = nlohmann::json::array();
    for (const auto& it : answer.hits)
        hits.push_back({{"id", it.document}, {"score", it.score}});
    object["hits"] = std::move(hits);
    return object.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace turmericlane
