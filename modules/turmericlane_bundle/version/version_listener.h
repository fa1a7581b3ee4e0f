#pragma once

#include "../model/bundle.h"

#include <memory>

namespace turmericlane
{

/** Kind of sender of a version. */
enum class version_source : std::uint8_t
{
    /** The configuration service. */
    platform,
    /** Another instance. */
    peer
};

/** Returns the name for the status and the log. */
std::string_view to_string(version_source value) noexcept;

/** Sender of a version. */
struct version_origin
{
    version_source source = version_source::platform;
    /** Ordinal of the peer; meaningless for the platform. */
    ordinal peer = 0;

    /** Returns the origin of versions from the configuration service. */
    static constexpr version_origin from_platform() noexcept
    {
        return {version_source::platform, 0};
    }

    /** Returns the origin of versions from another instance. */
    static constexpr version_origin from_peer(ordinal peer) noexcept
    {
        return {version_source::peer, peer};
    }
};

/** Receives the versions that a version_store accepts or refuses, so that the
    daemon can put them in force, count them and log them. It is called during
    version_store::offer and offer_delta and must not call these methods.

    @see version_store
*/
class version_listener
{
public:
    virtual ~version_listener() = default;

    /** Called when a version was accepted and is in force. */
    virtual void version_accepted(
        std::shared_ptr<const bundle> bundle_in_force,
        version_origin origin) = 0;

    /** Called when a version was refused.
        @param cause    stale_version, version_conflict, bad_signature or
                        bad_bundle
        @param version  version that was offered; 0 if it is not known
        @param detail   one line for the log */
    virtual void version_refused(
        reason cause,
        std::uint64_t version,
        version_origin origin,
        std::string_view detail) = 0;
};

} // namespace turmericlane
