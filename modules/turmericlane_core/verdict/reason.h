#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace turmericlane
{

/** Why a request, a sub-request or a message was refused, retried or dropped.

    The metrics count each reason. Instances send the numeric values to each
    other, so new reasons may only be added at the end.

    @see verdict
*/
enum class reason : std::uint8_t
{
    none,
    // The request is invalid.
    bad_json,
    missing_field,
    bad_field,
    unknown_service,
    unknown_group,
    body_too_large,
    deadline_past,
    // The entry refuses the request on admission.
    deadline_too_short,
    rank_limit,
    instance_starting,
    instance_leaving,
    no_bundle,
    // Outcomes of sub-requests at the owner.
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
    // Replies that match no open sub-request.
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
    // Bundle versions and messages between peers.
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

/** Returns all reasons in the order of their values. */
std::span<const reason> all_reasons() noexcept;

/** Returns the name of a reason in answers, metrics and logs. */
std::string_view to_string(reason value) noexcept;

/** Returns the reason with that wire value, or nothing if it is unknown. */
std::optional<reason> parse_reason(std::uint8_t value) noexcept;

} // namespace turmericlane
