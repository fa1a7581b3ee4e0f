#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace turmericlane
{

/** Why a request, a sub-request or a message was refused, retried or dropped.

    Each reason has a counter in the metrics. The numeric values go over the
    wire, so new ones are added at the end.

    @see verdict
*/
enum class reason : std::uint8_t
{
    none,
    // Bad input.
    bad_json,
    missing_field,
    bad_field,
    unknown_service,
    unknown_group,
    body_too_large,
    deadline_past,
    // Refused at admission.
    deadline_too_short,
    rank_limit,
    instance_starting,
    instance_leaving,
    no_bundle,
    // Sub-request outcomes at the owner.
    queue_full,
    queue_deadline,
    shed_by_server,
    server_draining,
    server_leaving,
    no_replica,
    no_owner,
    owner_lost,
    snapshot_gone,
    snapshot_mismatch,
    epoch_mismatch,
    connect_failed,
    connection_lost,
    attempt_timeout,
    bad_reply,
    cancelled,
    deadline_reached,
    retry_budget_empty,
    hedge_budget_empty,
    // Replies that match nothing.
    late_reply,
    duplicate_reply,
    unmatched_reply,
    // Bookings.
    ticket_required,
    ticket_invalid,
    ticket_expired,
    ticket_reused,
    ticket_forgotten,
    ticket_table_full,
    issuer_gone,
    reply_lost,
    not_bookable,
    // Versions and peers.
    stale_version,
    version_conflict,
    bad_signature,
    bad_bundle,
    frame_too_large,
    frame_malformed,
    frame_version,
    frame_replayed,
    frame_auth,
    peer_too_slow,
    internal_error
};

/** Every reason in order of its value, for counters and documentation. */
std::span<const reason> all_reasons() noexcept;

/** Returns the name that answers, metrics and logs use. */
std::string_view to_string(reason value) noexcept;

/** Returns the reason with that wire value, or nothing if there is none. */
std::optional<reason> parse_reason(std::uint8_t value) noexcept;

} // namespace turmericlane
