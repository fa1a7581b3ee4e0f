#pragma once

#include "../change/bundle_delta.h"
#include "version_listener.h"

namespace turmericlane
{

/** Decision on an offered version. */
enum class offer_result : std::uint8_t
{
    /** The version was put in force. */
    accepted,
    /** The version was in force already. */
    unchanged,
    /** The version is not used. */
    refused
};

/** Outcome of an offer, with the reason if it was refused. */
struct offer_outcome
{
    offer_result state = offer_result::refused;
    /** Reason for a refusal; otherwise none. */
    reason cause = reason::none;
    /** One line for the log; empty unless refused. */
    std::string detail;
    /** Version that was refused; 0 if it is not known. */
    std::uint64_t version = 0;
};

/** Holds the bundle in force and decides which offered versions replace it.

    A version is accepted only if a trusted key signed it, the bundle is valid
    and the version is higher than the one in force. The store therefore never
    goes back to an earlier version, whatever the platform or a peer sends.

    Decisions are deterministic: the store reads the time only from its clock
    and uses no random numbers. Only one thread may call it at a time; the
    bundles and envelopes that it returns may be used on any thread.

    @see version_listener
*/
class version_store
{
public:
    /** @param keys         keys whose signatures are accepted
        @param time_source  clock; must outlive the store
        @param listener     receives the decisions; may be null */
    version_store(
        trusted_keys keys,
        const clock& time_source,
        version_listener* listener);

    /** Accepts or refuses an envelope from the platform or a peer.
        @param envelope_text  JSON of the envelope */
    offer_outcome offer(std::string_view envelope_text, version_origin origin);

    /** Accepts or refuses a delta from a peer. A delta whose base is not the
        version in force is refused with stale_version, one whose base has other
        content under that version with version_conflict. If the sender's
        version is higher, the caller should then request the whole bundle.
        @param delta_text  JSON of the delta */
    offer_outcome
    offer_delta(std::string_view delta_text, version_origin origin);

    /** Called when a peer has stated its version in force.
        @returns true if the peer's version is higher than the one in force here
                 and should be requested */
    bool on_peer_version(ordinal peer, std::uint64_t version);

    /** Called when the configuration service has answered that it has no newer
        version. */
    void on_platform_unchanged();

    /** Called after a pause of the process, because the version must be
        confirmed again then. */
    void on_pause_detected();

    /** Returns the bundle in force; null before the first version. */
    std::shared_ptr<const bundle> bundle_in_force() const;

    /** Returns the signed envelope in force, for peers; null before the first
        version. */
    std::shared_ptr<const envelope> envelope_in_force() const;

    /** Returns the version in force; 0 before the first one. */
    std::uint64_t version() const noexcept;

    /** Returns the time since this process put the version in force; zero
        before the first version. */
    duration age() const;

    /** Returns the time since the platform or a peer last stated that it has no
        newer version; zero before the first version. It grows while the
        configuration service and all peers are unreachable. */
    duration time_since_confirmation() const;

    /** Returns the first origin of the version in force; the platform before
        the first version. */
    version_origin origin() const noexcept;

    /** True if, since the last pause, a peer has sent the version in force or
        stated one that is not higher. A statement of the platform is not
        enough, because its value may be stale. */
    bool is_confirmed() const noexcept;

    /** Makes the delta from an earlier version to the version in force.
        @returns nothing if the earlier version is no longer kept or the delta
                 would not be smaller than the envelope; the caller should then
                 send the envelope */
    std::optional<bundle_delta>
    make_delta_from(std::uint64_t base_version) const;

private:
    /** Number of earlier envelopes that are kept as bases of deltas. At 58,000
        changes a day a version is in force for 1.5 s on average, so four cover
        the 6 s within which every instance receives a new version. */
    static constexpr std::size_t max_earlier_envelopes = 4;

    offer_outcome
    decide_offer(envelope offered_envelope, version_origin origin);
    offer_outcome refuse(
        reason cause,
        std::uint64_t version,
        version_origin origin,
        std::string detail);
    offer_outcome
    accept(envelope offered_envelope, bundle content, version_origin origin);
    void record_confirmation(version_origin origin);

    trusted_keys trusted_keys_;
    const clock& clock_;
    version_listener* listener_;
    std::shared_ptr<const bundle> bundle_in_force_;
    std::shared_ptr<const envelope> envelope_in_force_;
    std::vector<std::shared_ptr<const envelope>> earlier_envelopes_;
    version_origin origin_;
    time_point accepted_time_;
    time_point confirmation_time_;
    bool is_confirmed_ = false;
};

} // namespace turmericlane
