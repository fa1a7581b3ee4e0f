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

result<search_request, api_error>
parse_search(std::string_view body, const bundle& in_force, time_point now)
{
    using failed = result<search_request, api_error>;
    field_reader reader(body, search_fields);
    search_request made;
    made.caller_request_id = reader.text("request_id", 1, max_request_id_bytes);
    const auto names = reader.texts("services", max_services);
    made.query = reader.text("query", 1, max_query_bytes);
    made.request_rank = reader.work("rank");
    const auto& policy = in_force.ranks[index_of(made.request_rank)];
    made.deadline =
        now + reader.deadline("deadline_ms", policy.default_deadline);
    made.limit = static_cast<std::uint32_t>(
        reader.integer("limit", 1, max_hits, default_hits));
    for (const auto& it : names)
    {
        const auto* found = in_force.find_service(it);
        if (found == nullptr)
        {
            reader.fail(
                reason::unknown_service, "service '" + it + "' is not known");
            break;
        }
        made.services.push_back(found->id);
    }
    if (reader.error())
        return failed::failure(*reader.error());
    return made;
}

std::string to_json(const search_answer& answer, const bundle& in_force)
{
    nlohmann::json made;
    made["verdict"] = to_string(answer.state.result);
    made["reason"] = to_string(answer.state.cause);
    made["request_id"] = answer.caller_request_id;
    made["bundle_version"] = answer.bundle_version;
    made["snapshot"] = answer.snapshot;
    made["sub_requests_sent"] = answer.sub_requests_sent;
    made["missing"] = to_string(answer.missing_reason);
    auto services = nlohmann::json::object();
    for (const auto& it : answer.coverage)
    {
        const auto* found = in_force.find_service(it.service);
        auto name = found != nullptr ? found->name : std::to_string(it.service);
        services[name] = {
            {"answered", it.answered_groups}, {"total", it.total_groups}};
    }
    made["coverage"] = {
        {"overall", answer.overall_coverage()},
        {"services", std::move(services)}};
    auto hits = nlohmann::json::array();
    for (const auto& it : answer.hits)
        hits.push_back({{"id", it.document}, {"score", it.score}});
    made["hits"] = std::move(hits);
    return made.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace turmericlane
