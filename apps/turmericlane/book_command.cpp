#include "book_command.h"

#include "request_settings.h"
#include "table.h"

namespace turmericlane
{

namespace
{

/** True if the reason in a refusal is one that any instance may give before it
    checks the ticket, or an unknown one. Such a refusal tells nothing about an
    earlier attempt with the same ticket. */
bool is_refused_before_ticket(const nlohmann::json& body)
{
    auto reason_name = body.value("reason", nlohmann::json());
    for (auto it : all_reasons())
        if (reason_name == to_string(it))
            return it <= reason::no_bundle;
    return true;
}

/** Returns the exit code for a booking, from the verdict of the reply or, if it
    has none, from how the request ended.
    @param is_repeat  true if the ticket was used in an earlier attempt */
exit_code booking_exit_code(const instance_response& response, bool is_repeat)
{
    auto not_run_code = is_repeat ? exit_may_have_run : exit_failed;
    if (!response.reply)
        return response.reply.error().not_sent ? not_run_code
                                               : exit_may_have_run;
    auto body = parse_body(*response.reply);
    if (!body.is_object())
        return exit_may_have_run;
    if (!body.contains("verdict") && response.reply->status == 200)
        return exit_ok;
    auto verdict = body.value("verdict", nlohmann::json());
    if (verdict == to_string(outcome::ran))
        return exit_ok;
    if (verdict == to_string(outcome::not_run))
        return is_refused_before_ticket(body) ? not_run_code : exit_failed;
    // A reply without a known verdict does not rule out that the booking ran.
    return exit_may_have_run;
}

/** Returns a text quoted as one word of a shell command. */
std::string shell_quoted(const std::string& text)
{
    std::string word = "'";
    for (auto it : text)
        word += it == '\'' ? "'\\''" : std::string(1, it);
    return word + "'";
}

/** Returns the ticket in a reply to /v1/tickets, or an error. */
result<nlohmann::json> read_ticket(const instance_response& response)
{
    using ticket_result = result<nlohmann::json>;
    if (!response.reply)
        return ticket_result::failure(response.reply.error().detail);
    if (response.reply->status != 200)
        return ticket_result::failure(
            response.instance +
            ": no ticket: " + describe_refusal(*response.reply));
    auto body = parse_body(*response.reply);
    if (body.is_discarded())
        return ticket_result::failure(
            response.instance + ": the reply is not JSON");
    if (body.is_object() && body.contains("ticket"))
        return body["ticket"];
    return body;
}

/** Parses the value of the flag `ticket`, which is JSON or a plain text. */
nlohmann::json parse_ticket(const std::string& text)
{
    auto value = nlohmann::json::parse(text, nullptr, false);
    return value.is_discarded() ? nlohmann::json(text) : value;
}

int report_booking(
    const instance_response& response,
    const nlohmann::json& ticket,
    bool is_repeat,
    bool as_json)
{
    auto code = booking_exit_code(response, is_repeat);
    if (response.reply && (as_json || code == exit_ok))
        print_answer(parse_body(*response.reply), as_json);
    if (code == exit_ok)
        return code;
    report_failure(
        response.reply
            ? response.instance + ": " + describe_refusal(*response.reply)
            : response.reply.error().detail);
    if (code == exit_may_have_run)
        report_failure(
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
    return "Takes a ticket and sends one booking with it. Exit code 1: it did "
           "not run; 3: it may have run.";
}

int book_command::run(std::span<const char* const> arguments)
{
    auto flags = make_settings();
    request_settings request(flags, {"urgent", "ordinary", "archive"});
    auto& service = flags.add<text_setting>(
        {"service", "Service to book with.", "", true}, "name", 64);
    auto& key = flags.add<text_setting>(
        {"key", "Key that selects the partition to book with.", "", true},
        "text", 1024);
    auto& earlier_ticket = flags.add<text_setting>(
        {"ticket", "Ticket of an earlier attempt at the same booking."},
        "ticket");
    std::vector<std::string> payload;
    if (auto code = parse_arguments(flags, arguments, 1, payload))
        return *code;
    const auto& instances = request.fleet.instances.value();
    auto ticket = parse_ticket(earlier_ticket.value());
    auto is_repeat = !earlier_ticket.value().empty();
    // The ticket and the booking may go to different instances: each forwards
    // the booking to the instance that issued the ticket.
    if (!is_repeat)
    {
        auto new_ticket = read_ticket(send_to_first(
            instances, request.fleet.timeout.as_duration(), "/v1/tickets",
            nlohmann::json::object()));
        if (!new_ticket)
            return report_failure(new_ticket.error());
        ticket = *new_ticket;
    }
    nlohmann::json body = {
        {"ticket", ticket},
        {"service", service.value()},
        {"key", key.value()},
        {"payload", payload[0]}};
    request.add_to(body);
    auto response =
        send_to_first(instances, request.reply_timeout(), "/v1/bookings", body);
    return report_booking(
        response, ticket, is_repeat, request.fleet.json.value());
}

} // namespace turmericlane
