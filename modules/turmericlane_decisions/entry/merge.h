#pragma once

#include "../messages/search_messages.h"

#include <span>

namespace turmericlane
{

/** Merges the hits of groups in a total order: score descending, document
    ascending, then group. A document that occurs twice counts once, at its
    best place. The result does not depend on the order of the replies.

    @see search_coordinator
*/
class merge
{
public:
    /** @param limit  hits to keep at most */
    explicit merge(std::uint32_t limit);

    /** Adds the hits of one group. */
    void add(group_id from, std::span<const hit> hits);

    /** Drops all hits. */
    void clear();

    /** Returns the merged hits and leaves the merge empty. */
    std::vector<hit> take();

private:
    struct candidate
    {
        hit found;
        group_id from;
    };

    static bool before(const candidate& a, const candidate& b);
    void compact();

    std::size_t limit_;
    /** No kept hit is worse than this once limit_ hits are known. */
    double lowest_score_;
    std::vector<candidate> candidates_;
};

} // namespace turmericlane
