#pragma once

#include <turmericlane_bundle/turmericlane_bundle.h>

#include <span>
#include <string>
#include <vector>

namespace turmericlane
{

/** Candidate owners of each group: the first ordinals by rendezvous hashing.
    The first candidate is the best one in a data centre of the group's
    searchers, if the bundle states where the ordinals stand, so that the hop
    to the owner costs no second way between data centres.

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

    /** Computes the candidates of every group of a bundle, and copies those of
        services that have the same name, and groups in the same data centres,
        in an earlier bundle with the same instances and number of
        candidates. */
    owner_map(const bundle& of, const owner_map& earlier);

    /** Candidates of a group in order of preference; empty for an unknown
        group. */
    std::span<const ordinal> candidates(group_id id) const;

private:
    struct service_row
    {
        std::uint32_t id = 0;
        std::string name;
        /** candidate_count_ ordinals for each group. */
        std::vector<ordinal> owners;
        /** For each group, which of the ordinals' data centres hold one of its
            searchers. */
        std::vector<std::vector<bool>> near;
    };

    void fill(const bundle& of, const owner_map* earlier);
    std::vector<bool> near_data_centres(const group& of) const;
    void append_candidates(service_row& row, std::uint32_t partition) const;
    const service_row* find_row(std::uint32_t id) const;

    std::uint32_t instance_count_ = 0;
    std::uint32_t candidate_count_ = 0;
    std::vector<std::string> data_centres_;
    /** In ascending order of the service id. */
    std::vector<service_row> services_;
};

} // namespace turmericlane
