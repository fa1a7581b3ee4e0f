#include "book_command.h"

#include "request_settings.h"
#include "table.h"

namespace turmericlane
{

namespace
{

/** True if the reason of a refusal can be given by any instance before it
    looks at the ticket. Such a refusal says nothing about an earlier attempt
    with the same ticket. */
bool precedes_ticket(const nlohmann::json& body)
{
    auto name = body.value("reason", nlohmann::json());
    for (auto it : all_reasons())
        if (name == to_string(it))
            return it <= reason::no_bundle;
    return true;
}

/** How a booking ended: the reply's verdict, or what can be said without.
    @param is_repeat  an earlier attempt was made with the same ticket */
exit_code code_of_booking(const fleet_reply& from, bool is_repeat)
{
    auto not_run = is_repeat ? exit_may_have_run : exit_failed;
    if (!from.reply)
        return from.reply.error().not_sent ? not_run : exit_may_have_run;
    auto body = parse_body(*from.reply);
    if (!body.is_object())
        return exit_may_have_run;
    if (!body.contains("verdict") && from.reply->status == 200)
        return exit_ok;
    auto verdict = body.value("verdict", nlohmann::json());
    if (verdict == to_string(outcome::ran))
        return exit_ok;
    if (verdict == to_string(outcome::not_run))
        return precedes_ticket(body) ? not_run : exit_failed;
    // A reply without a known verdict proves nothing.
    return exit_may_have_run;
}

/** A text as one word of a shell command. */
std::string shell_quoted(const std::string& text)
{
    std::string quoted = "'";
    for (auto it : text)
        quoted += it == '\'' ? "'\\''" : std::string(1, it);
    return quoted + "'";
}

/** The ticket in a reply to /v1/tickets. */
result<nlohmann::json> read_ticket(const fleet_reply& from)
{
    using made = result<nlohmann::json>;
    if (!from.reply)
        return made::failure(from.reply.error().detail);
    if (from.reply->status != 200)
        return made::failure(
            from.instance + ": no ticket: " + describe_refusal(*from.reply));
    auto body = parse_body(*from.reply);
    if (body.is_discarded())
        return made::failure(from.instance + ": the reply is no JSON");
    if (body.is_object() && body.contains("ticket"))
        return body["ticket"];
    return body;
}

/** The ticket of the flag: JSON, or a plain text. */
nlohmann::json ticket_of(const std::string& text)
{
    auto parsed = nlohmann::json::parse(text, nullptr, false);
    return parsed.is_discarded() ? nlohmann::json(text) : parsed;
}

int report_booking(
    const fleet_reply& got,
    const nlohmann::json& ticket,
    bool is_repeat,
    bool as_json)
{
    auto code = code_of_booking(got, is_repeat);
    if (got.reply && (as_json || code == exit_ok))
        print_answer(parse_body(*got.reply), as_json);
    if (code == exit_ok)
        return code;
    fail(
        got.reply ? got.instance + ": " + describe_refusal(*got.reply)
                  : got.reply.error().detail);
    if (code == exit_may_have_run)
        fail(
            "the booking may have run; to ask for its result, repeat the "
            "same command with --ticket=" +
            shell_quoted(cell_text(ticket)));
    return code;
}

} // namespace

std::string_view book_command::name() const noexcept
{
    return "book";
}

std::string_view book_command::usage() const noexcept
{
    return "--instances=IP:PORT,... --service=NAME --key=KEY [FLAGS] PAYLOAD";
}

std::string_view book_command::summary() const noexcept
{
    return "Takes a ticket and sends one booking with it. Exit code 1: it ran "
           "nowhere; 3: it may have run.";
}

int book_command::run(std::span<const char* const> arguments)
{
    auto declared = make_settings();
    request_settings request(declared, {"urgent", "ordinary", "archive"});
    auto& service = declared.add<text_setting>(
        {"service", "Service to book with.", "", true}, "name", 64);
    auto& key = declared.add<text_setting>(
        {"key", "Key that selects the partition.", "", true}, "text", 1024);
    auto& earlier = declared.add<text_setting>(
        {"ticket", "Ticket of an earlier attempt at the same booking."},
        "ticket");
    std::vector<std::string> payload;
    if (auto code = read_usage(declared, arguments, 1, payload))
        return *code;
    const auto& instances = request.fleet.instances.value();
    auto ticket = ticket_of(earlier.value());
    auto is_repeat = !earlier.value().empty();
    // Whichever instance gets the booking passes it on to the issuer.
    if (!is_repeat)
    {
        auto taken = read_ticket(ask_first(
            instances, request.fleet.timeout.as_duration(), "/v1/tickets",
            nlohmann::json::object()));
        if (!taken)
            return fail(taken.error());
        ticket = *taken;
    }
    nlohmann::json body = {
        {"ticket", ticket},
        {"service", service.value()},
        {"key", key.value()},
        {"payload", payload[0]}};
    request.add_to(body);
    auto got =
        ask_first(instances, request.reply_timeout(), "/v1/bookings", body);
    return report_booking(got, ticket, is_repeat, request.fleet.json.value());
}

} // namespace turmericlane
