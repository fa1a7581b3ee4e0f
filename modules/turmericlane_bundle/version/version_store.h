#pragma once

#include "../change/bundle_delta.h"
#include "version_listener.h"

namespace turmericlane
{

/** What became of an offered version. */
enum class offer_result : std::uint8_t
{
    /** It is in force now. */
    accepted,
    /** It is the one that was in force already. */
    unchanged,
    /** It is not used. */
    refused
};

/** Outcome of an offer, with the reason for a refusal. */
struct offer_outcome
{
    offer_result state = offer_result::refused;
    /** none unless refused. */
    reason why = reason::none;
    /** One line for the log; empty unless refused. */
    std::string detail;
};

/** Holds the bundle in force and decides which offered versions replace it.

    A version is accepted only if a trusted key signed it, it parses, and it is
    higher than the one in force. A version in force is therefore never
    reverted, whatever the platform or a peer sends later.

    Decision code: it reads time from the clock that it was given and draws no
    random numbers. One thread calls it at a time; the bundles and envelopes
    that it returns may be used on any thread.

    @see version_listener
*/
class version_store
{
public:
    /** @param trusted   keys whose signatures are accepted
        @param time      clock; must outlive the store
        @param listener  observes decisions; may be null */
    version_store(
        trusted_keys trusted, const clock& time, version_listener* listener);

    /** Decides on the text of an envelope from the platform or a peer. */
    offer_outcome offer(std::string_view envelope_text, version_origin origin);

    /** Decides on a delta from a peer. A delta for another base than the
        version in force is refused with stale_version; the caller then asks
        for the whole bundle. */
    offer_outcome
    offer_delta(std::string_view delta_text, version_origin origin);

    /** A peer stated the version that it has in force.
        @returns true if that is higher than the one here and is to be pulled */
    bool on_peer_version(ordinal peer, std::uint64_t version);

    /** The configuration service answered that it has nothing newer. */
    void on_platform_unchanged();

    /** The process was paused: the version has to be confirmed again. */
    void on_pause_detected();

    /** The bundle in force, or null before the first one. */
    std::shared_ptr<const bundle> in_force() const;

    /** The signed text of the version in force, for peers; null before the
        first one. */
    std::shared_ptr<const envelope> in_force_envelope() const;

    /** Version in force; 0 before the first one. */
    std::uint64_t version() const noexcept;

    /** Time since the version came into force in this process; zero before
        the first one. */
    duration age() const;

    /** Time since the platform or a peer last stated that it has nothing
        newer; zero before the first one. It grows while the configuration
        service and all peers are unreachable. */
    duration since_confirmed() const;

    /** Where the version in force came from first; platform before the first
        one. */
    version_origin origin() const noexcept;

    /** True once a peer has stated a version not higher than the one in force
        or has sent that one. The platform alone doesn't count, because its
        value may be stale. A pause resets it. */
    bool confirmed() const noexcept;

    /** Delta from an earlier version that was in force here to the present
        one.
        @returns nothing if that version is not kept or the delta would not be
                 smaller than the envelope; the whole is sent then */
    std::optional<bundle_delta> delta_from(std::uint64_t base_version) const;

private:
    /** Earlier versions that are kept as bases of deltas. At 58,000 changes a
        day one version is in force for 1.5 s on average, so that four cover
        the 6 s within which every instance follows. */
    static constexpr std::size_t kept_versions = 4;

    offer_outcome decide(envelope offered, version_origin origin);
    offer_outcome refuse(
        reason why,
        std::uint64_t version,
        version_origin origin,
        std::string detail);
    offer_outcome
    accept(envelope offered, bundle content, version_origin origin);
    void note_confirmation(version_origin origin);

    trusted_keys trusted_;
    const clock& clock_;
    version_listener* listener_;
    std::shared_ptr<const bundle> bundle_;
    std::shared_ptr<const envelope> envelope_;
    std::vector<std::shared_ptr<const envelope>> earlier_;
    version_origin origin_;
    time_point accepted_at_;
    time_point confirmed_at_;
    bool confirmed_ = false;
};

} // namespace turmericlane
