#include "search_command.h"

#include "request_settings.h"

#include <random>
#include <sstream>

namespace turmericlane
{

namespace
{

std::string random_request_id()
{
    std::random_device random_source;
    std::ostringstream text;
    text << "cli-" << std::hex << random_source() << random_source();
    return text.str();
}

std::vector<std::string> split(const std::string& list)
{
    std::vector<std::string> parts;
    std::istringstream text(list);
    for (std::string it; std::getline(text, it, ',');)
        parts.push_back(it);
    return parts;
}

} // namespace

std::string_view search_command::name() const noexcept
{
    return "search";
}

std::string_view search_command::usage() const noexcept
{
    return "--instances=IP:PORT,... --services=NAME,... [FLAGS] QUERY";
}

std::string_view search_command::summary() const noexcept
{
    return "Sends one search and prints its answer and coverage.";
}

int search_command::run(std::span<const char* const> arguments)
{
    auto flags = make_settings();
    request_settings request(flags, {"ordinary", "urgent", "archive"});
    auto& services = flags.add<text_setting>(
        {"services", "Services to search.", "", true}, "names with commas",
        4096);
    auto& limit = flags.add<integer_setting>(
        {"limit", "Number of hits to return.", "hits"}, 10, 1, 1000);
    auto& id = flags.add<text_setting>(
        {"request-id", "Request id for the logs; random if not given."}, "text",
        128);
    std::vector<std::string> query;
    if (auto code = parse_arguments(flags, arguments, 1, query))
        return *code;
    nlohmann::json body = {
        {"request_id", id.value().empty() ? random_request_id() : id.value()},
        {"services", split(services.value())},
        {"query", query[0]},
        {"limit", limit.value()}};
    request.add_to(body);
    auto response = send_to_first(
        request.fleet.instances.value(), request.reply_timeout(), "/v1/search",
        body);
    if (!response.reply)
        return report_failure(response.reply.error().detail);
    auto answer = parse_body(*response.reply);
    if (answer.is_discarded())
        return report_failure(
            response.instance + ": " + describe_refusal(*response.reply));
    auto is_refused = response.reply->status != 200;
    if (!is_refused || request.fleet.json.value())
        print_answer(answer, request.fleet.json.value());
    if (is_refused)
        return report_failure(
            response.instance + ": " + describe_refusal(*response.reply));
    return exit_ok;
}

} // namespace turmericlane
