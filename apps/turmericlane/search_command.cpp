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
    std::random_device source;
    std::ostringstream text;
    text << "cli-" << std::hex << source() << source();
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
    return "Sends one search and prints the answer with its coverage.";
}

int search_command::run(std::span<const char* const> arguments)
{
    auto declared = make_settings();
    request_settings request(declared, {"ordinary", "urgent", "archive"});
    auto& services = declared.add<text_setting>(
        {"services", "Services to search.", "", true}, "names with commas",
        4096);
    auto& limit = declared.add<integer_setting>(
        {"limit", "Hits to return.", "hits"}, 10, 1, 1000);
    auto& id = declared.add<text_setting>(
        {"request-id", "Id for the logs; otherwise random."}, "text", 128);
    std::vector<std::string> query;
    if (auto code = read_usage(declared, arguments, 1, query))
        return *code;
    nlohmann::json body = {
        {"request_id", id.value().empty() ? random_request_id() : id.value()},
        {"services", split(services.value())},
        {"query", query[0]},
        {"limit", limit.value()}};
    request.add_to(body);
    auto got = ask_first(
        request.fleet.instances.value(), request.reply_timeout(), "/v1/search",
        body);
    if (!got.reply)
        return fail(got.reply.error().detail);
    auto answer = parse_body(*got.reply);
    if (answer.is_discarded())
        return fail(got.instance + ": " + describe_refusal(*got.reply));
    auto is_refused = got.reply->status != 200;
    if (!is_refused || request.fleet.json.value())
        print_answer(answer, request.fleet.json.value());
    if (is_refused)
        return fail(got.instance + ": " + describe_refusal(*got.reply));
    return exit_ok;
}

} // namespace turmericlane
