#include "reason.h"

#include <array>

namespace turmericlane
{

namespace
{

struct named_reason
{
    reason value;
    std::string_view name;
};

constexpr named_reason named_reasons[] = {
    {reason::none, "none"},
    {reason::bad_json, "bad_json"},
    {reason::missing_field, "missing_field"},
    {reason::bad_field, "bad_field"},
    {reason::unknown_service, "unknown_service"},
    {reason::unknown_group, "unknown_group"},
    {reason::body_too_large, "body_too_large"},
    {reason::deadline_past, "deadline_past"},
    {reason::deadline_too_short, "deadline_too_short"},
    {reason::rank_limit, "rank_limit"},
    {reason::instance_starting, "instance_starting"},
    {reason::instance_leaving, "instance_leaving"},
    {reason::no_bundle, "no_bundle"},
    {reason::queue_full, "queue_full"},
    {reason::queue_deadline, "queue_deadline"},
    {reason::shed_by_server, "shed_by_server"},
    {reason::server_draining, "server_draining"},
    {reason::server_leaving, "server_leaving"},
    {reason::no_replica, "no_replica"},
    {reason::no_owner, "no_owner"},
    {reason::owner_lost, "owner_lost"},
    {reason::snapshot_gone, "snapshot_gone"},
    {reason::snapshot_mismatch, "snapshot_mismatch"},
    {reason::epoch_mismatch, "epoch_mismatch"},
    {reason::connect_failed, "connect_failed"},
    {reason::connection_lost, "connection_lost"},
    {reason::attempt_timeout, "attempt_timeout"},
    {reason::bad_reply, "bad_reply"},
    {reason::cancelled, "cancelled"},
    {reason::deadline_reached, "deadline_reached"},
    {reason::retry_budget_empty, "retry_budget_empty"},
    {reason::hedge_budget_empty, "hedge_budget_empty"},
    {reason::late_reply, "late_reply"},
    {reason::duplicate_reply, "duplicate_reply"},
    {reason::unmatched_reply, "unmatched_reply"},
    {reason::ticket_required, "ticket_required"},
    {reason::ticket_invalid, "ticket_invalid"},
    {reason::ticket_expired, "ticket_expired"},
    {reason::ticket_reused, "ticket_reused"},
    {reason::ticket_forgotten, "ticket_forgotten"},
    {reason::ticket_table_full, "ticket_table_full"},
    {reason::issuer_gone, "issuer_gone"},
    {reason::reply_lost, "reply_lost"},
    {reason::not_bookable, "not_bookable"},
    {reason::stale_version, "stale_version"},
    {reason::version_conflict, "version_conflict"},
    {reason::bad_signature, "bad_signature"},
    {reason::bad_bundle, "bad_bundle"},
    {reason::frame_too_large, "frame_too_large"},
    {reason::frame_malformed, "frame_malformed"},
    {reason::frame_version, "frame_version"},
    {reason::frame_replayed, "frame_replayed"},
    {reason::frame_auth, "frame_auth"},
    {reason::peer_too_slow, "peer_too_slow"},
    {reason::internal_error, "internal_error"},
};

constexpr std::size_t reason_count = std::size(named_reasons);

constexpr auto make_all_values()
{
    std::array<reason, reason_count> result{};
    for (std::size_t n = 0; n < reason_count; ++n)
        result[n] = named_reasons[n].value;
    return result;
}

constexpr auto all_values = make_all_values();

constexpr bool is_in_enum_order()
{
    for (std::size_t n = 0; n < reason_count; ++n)
        if (static_cast<std::size_t>(all_values[n]) != n)
            return false;
    return true;
}

static_assert(
    is_in_enum_order(), "the table must be in the order of the enumeration");

} // namespace

std::span<const reason> all_reasons() noexcept
{
    return all_values;
}

std::string_view to_string(reason value) noexcept
{
    auto n = static_cast<std::size_t>(value);
    return n < reason_count ? named_reasons[n].name : "unknown";
}

std::optional<reason> parse_reason(std::uint8_t value) noexcept
{
    if (value >= reason_count)
        return std::nullopt;
    return static_cast<reason>(value);
}

} // namespace turmericlane
