#include "booking_api.h"

#include "field_reader.h"

namespace turmericlane
{

namespace
{

constexpr std::string_view booking_fields[] = {
    "request_id", "ticket", "service", "key", "payload", "rank", "deadline_ms"};

constexpr std::size_t max_request_id_bytes = 128;
constexpr std::size_t max_ticket_bytes = 512;
constexpr std::size_t max_name_bytes = 128;
constexpr std::size_t max_key_bytes = 256;
constexpr std::size_t max_payload_bytes = std::size_t{16} * 1024;

} // namespace

result<booking_form, api_error>
parse_booking(std::string_view body, const bundle& bundle_in_force)
{
    using parse_result = result<booking_form, api_error>;
    field_reader reader(body, booking_fields);
    booking_form form;
    reader.read_text("request_id", 0, max_request_id_bytes, "");
    form.ticket = reader.read_text("ticket", 0, max_ticket_bytes, "");
    if (form.ticket.empty())
        reader.set_error(
            reason::ticket_required,
            "field 'ticket' is missing; take one by POST /v1/tickets");
    form.service = reader.read_text("service", 1, max_name_bytes);
    form.key = reader.read_text("key", 1, max_key_bytes);
    form.payload = reader.read_text("payload", 0, max_payload_bytes, "");
    form.request_rank = reader.read_rank("rank");
    const auto& policy = bundle_in_force.ranks[index_of(form.request_rank)];
    form.time_left =
        reader.read_time_left("deadline_ms", policy.default_deadline);
    const auto* found_service =
        bundle_in_force.find_service(std::string_view(form.service));
    if (found_service == nullptr)
        reader.set_error(
            reason::unknown_service,
            "service '" + form.service + "' is not known");
    else if (!found_service->bookable)
        reader.set_error(
            reason::not_bookable,
            "service '" + form.service + "' takes no bookings");
    if (reader.error())
        return parse_result::failure(*reader.error());
    return form;
}

std::string booking_json(
    verdict booking_verdict, std::string_view answer, std::string_view ticket)
{
    nlohmann::json object;
    object["verdict"] = to_string(booking_verdict.result);
    object["reason"] = to_string(booking_verdict.cause);
    object["request_id"] = ticket;
    if (booking_verdict.result == outcome::ran)
        object["result"] = answer;
    return object.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace turmericlane
