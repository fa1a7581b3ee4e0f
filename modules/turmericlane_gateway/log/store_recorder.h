#pragma once

#include "json_log.h"

#include <turmericlane_state/turmericlane_state.h>

namespace turmericlane
{

/** Writes what happens between this instance and the store to the log. Lines of
    a kind that each call of the store may cause are limited to one a second,
    and say how often it happened since the last one.

    @see store_follower, follow_monitor
*/
class store_recorder
{
public:
    /** Both references must outlive the recorder. */
    store_recorder(json_log& log, const clock& time);

    /** Records that the store cannot be reached.
        @param age  age of the copy */
    void on_lost(store_failure cause, duration age);

    /** Records that the store can be reached again. */
    void on_returned();

    /** Records that the copy is complete for the first time. */
    void on_complete(std::size_t searcher_count, std::uint64_t revision);

    /** Records that the store no longer has the changes since a revision. */
    void on_history_lost(std::uint64_t held_revision);

    /** Records that the store has come back from an older copy. */
    void on_reverted(const store_return_report& report);

    /** Records that an answer of an older era was refused. */
    void on_answer_refused(std::uint64_t stated_era, std::uint64_t known_era);

    /** Records that this instance does not follow the store. */
    void on_not_followed(const follow_report& report);

    /** Records that this instance follows the store again.
        @param duration_behind  time for which it did not */
    void on_followed(duration duration_behind, std::uint64_t revision);

private:
    json_log& log_;
    const clock& clock_;
    time_point next_refusal_line_{};
    std::int64_t unwritten_refusals_ = 0;
    time_point next_history_line_{};
    std::int64_t unwritten_history_losses_ = 0;
};

} // namespace turmericlane
