#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace turmericlane
{

/** The bundle version that each peer stated last, and whether a statement has
    to be handled.

    Every frame of a peer states its version, so repeated statements are left
    out. A statement of a version that this instance lacks is always handled:
    the request for it may have failed.

    One thread uses it at a time.

    @see version_spread
*/
class peer_versions
{
public:
    /** Records the version that a frame of a peer states.
        @param peer              nonce of the peer
        @param stated_version    version in force at the peer
        @param version_in_force  version in force in this instance
        @returns true if the statement has to be handled */
    bool on_frame(
        std::uint64_t peer,
        std::uint64_t stated_version,
        std::uint64_t version_in_force);

    /** Returns the version that a peer stated last; 0 if it is not known. */
    std::uint64_t version_of(std::uint64_t peer) const;

private:
    std::unordered_map<std::uint64_t, std::uint64_t> versions_;
};

} // namespace turmericlane
