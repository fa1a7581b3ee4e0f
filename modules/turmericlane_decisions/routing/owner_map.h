#pragma once

#include <turmericlane_bundle/turmericlane_bundle.h>

#include <span>
#include <string>
#include <vector>

namespace turmericlane
{

/** Candidate owners of each group: the ordinals with the highest rendezvous
    hashes. If the bundle states the data centres of the ordinals, the first
    candidate is the highest one in a data centre of the group's searchers, so
    that the hop to the owner adds no second one between data centres.

    The candidates depend on the bundle alone, never on which instances are
    live. So the connections of all candidates to a searcher stay within its
    limit, even if instances disagree about which ones are live. The live
    instances only decide which candidate is used.

    @see bundle::connection_share
*/
class owner_map
{
public:
    /** Computes the candidates of every group of a bundle. */
    explicit owner_map(const bundle& source_bundle);

    /** Like the other constructor, but copies candidates from the map of an
        earlier bundle with the same ordinals, data centres and number of
        candidates: those of each service that has the same id and name there
        and its groups in the same data centres. */
    owner_map(const bundle& source_bundle, const owner_map& earlier_map);

    /** Returns the candidates of a group in order of preference; empty for an
        unknown group. */
    std::span<const ordinal> candidates(group_id id) const;

private:
    struct service_row
    {
        std::uint32_t id = 0;
        std::string name;
        /** candidate_count_ ordinals for each group. */
        std::vector<ordinal> owners;
        /** For each group, and for each element of data_centres_, whether a
            searcher of the group is in that data centre. */
        std::vector<std::vector<bool>> has_searcher;
    };

    void
    add_services(const bundle& source_bundle, const owner_map* earlier_map);
    std::vector<bool> locate_searchers(const group& replicas) const;
    void append_candidates(service_row& row, std::uint32_t partition) const;
    const service_row* find_row(std::uint32_t id) const;

    std::uint32_t instance_count_ = 0;
    std::uint32_t candidate_count_ = 0;
    /** Data centres of the ordinals in turn; see bundle. */
    std::vector<std::string> data_centres_;
    /** In ascending order of the service id. */
    std::vector<service_row> services_;
};

} // namespace turmericlane
