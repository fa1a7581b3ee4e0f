#pragma once

#include "../model/bundle.h"

#include <memory>

namespace turmericlane
{

/** Where a version came from. */
enum class version_source : std::uint8_t
{
    /** The configuration service. */
    platform,
    /** Another instance. */
    peer
};

/** Returns the name that the status and logs use. */
std::string_view to_string(version_source value) noexcept;

/** Sender of a version. */
struct version_origin
{
    version_source source = version_source::platform;
    /** Ordinal of the peer; meaningless for the platform. */
    ordinal peer = 0;

    /** The configuration service. */
    static constexpr version_origin from_platform() noexcept
    {
        return {version_source::platform, 0};
    }

    /** Another instance. */
    static constexpr version_origin from_peer(ordinal peer) noexcept
    {
        return {version_source::peer, peer};
    }
};

/** Observes the versions that a version_store accepts and refuses, so that the
    daemon can put them in force, count them and log them. Calls come from
    inside version_store::offer; the listener must not call back into it.

    @see version_store
*/
class version_listener
{
public:
    virtual ~version_listener() = default;

    /** A version is in force from now on. */
    virtual void version_accepted(
        std::shared_ptr<const bundle> in_force, version_origin origin) = 0;

    /** A version was refused.
        @param why      stale_version, version_conflict, bad_signature or
                        bad_bundle
        @param version  version that was offered; 0 if it could not be read
        @param detail   one line for the log */
    virtual void version_refused(
        reason why,
        std::uint64_t version,
        version_origin origin,
        std::string_view detail) = 0;
};

} // namespace turmericlane
