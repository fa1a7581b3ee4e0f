#pragma once

#include "../messages/search_messages.h"

#include <span>

namespace turmericlane
{

/** Merges the hits of groups in a total order: by descending score, then by
    ascending document, then by group. A document that occurs twice is kept
    once, at its best position. The result does not depend on the order of the
    replies.

    @see search_coordinator
*/
class hit_merger
{
public:
    /** @param limit  maximum number of hits to keep */
    explicit hit_merger(std::uint32_t limit);

    /** Adds the hits of one group. */
    void add(group_id source_group, std::span<const hit> hits);

    /** Drops all hits. */
    void clear();

    /** Returns the merged hits and leaves the merger empty. */
    std::vector<hit> take_hits();

private:
    struct candidate
    {
        hit scored_hit;
        group_id source_group;
    };

    static bool is_better(const candidate& a, const candidate& b);
    void compact();

    std::size_t limit_;
    /** Score of the last of the best limit_ hits, once there are that many;
        hits below it are dropped. */
    double lowest_score_;
    std::vector<candidate> candidates_;
};

} // namespace turmericlane
