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
parse_booking(std::string_view body, const bundle& in_force)
{
    using failed = result<booking_form, api_error>;
    field_reader reader(body, booking_fields);
    booking_form made;
    reader.text("request_id", 0, max_request_id_bytes, "");
    made.ticket = reader.text("ticket", 0, max_ticket_bytes, "");
    if (made.ticket.empty())
        reader.fail(
            reason::ticket_required,
            "field 'ticket' is missing; take one by POST /v1/tickets");
    made.service = reader.text("service", 1, max_name_bytes);
    made.key = reader.text("key", 1, max_key_bytes);
    made.payload = reader.text("payload", 0, max_payload_bytes, "");
    made.work = reader.work("rank");
    const auto& policy = in_force.ranks[index_of(made.work)];
    made.time_left = reader.deadline("deadline_ms", policy.default_deadline);
    const auto* found = in_force.find_service(std::string_view(made.service));
    if (found == nullptr)
        reader.fail(
            reason::unknown_service,
            "service '" + made.service + "' is not known");
    else if (!found->bookable)
        reader.fail(
            reason::not_bookable,
            "service '" + made.service + "' takes no bookings");
    if (reader.error())
        return failed::failure(*reader.error());
    return made;
}

std::string
booking_json(verdict state, std::string_view answer, std::string_view ticket)
{
    nlohmann::json made;
    made["verdict"] = to_string(state.result);
    made["reason"] = to_string(state.cause);
    made["request_id"] = ticket;
    if (state.result == outcome::ran)
        made["result"] = answer;
    return made.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace turmericlane
