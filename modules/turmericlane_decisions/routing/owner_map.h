#pragma once

#include <turmericlane_bundle/turmericlane_bundle.h>

#include <span>
#include <vector>

namespace turmericlane
{

/** Candidate owners of each group: the first ordinals by rendezvous hashing.

    The candidates depend on the bundle alone, never on a view of the fleet, so
    that the connections of all candidates to a searcher stay within its limit
    in every view. The live list only selects one of them.

    @see bundle::connection_share
*/
class owner_map
{
public:
    /** Computes the candidates of every group of a bundle. */
    explicit owner_map(const bundle& of);

    /** Candidates of a group in order of preference; empty for an unknown
        group. */
    std::span<const ordinal> candidates(group_id id) const;

private:
    std::uint32_t candidate_count_ = 0;
    std::vector<std::pair<std::uint32_t, std::vector<ordinal>>> services_;
};

} // namespace turmericlane
