#pragma once

#include "store_follower.h"

namespace turmericlane
{

/** Reason why an instance does not follow the store. */
enum class follow_trouble : std::uint8_t
{
    none,
    /** Neither the store nor a peer has confirmed the copy for too long. */
    unconfirmed,
    /** The store keeps saying that it lacks the changes since the revision
        held. */
    history_lost,
    /** The store's answers have a revision below the one held. */
    answer_behind,
    /** The store's answers are of an older era and were refused. */
    answer_refused
};

/** Returns the name that logs use. */
std::string_view to_string(follow_trouble value) noexcept;

/** Description of an instance that does not follow the store. */
struct follow_report
{
    follow_trouble why = follow_trouble::none;
    /** Time since the last confirmation, or since the first answer in a row
        that was not taken. */
    duration age{};
    std::uint64_t held_revision = 0;
    /** Revision of the latest answer that was not taken; 0 if none. */
    std::uint64_t answered_revision = 0;
    /** Cause of the latest failed call since an answer was taken. */
    std::optional<store_failure> failure;
};

/** Receives the decisions of a follow_monitor. */
class follow_listener
{
public:
    virtual ~follow_listener() = default;

    /** This instance has begun not to follow the store, or still does not. */
    virtual void store_not_followed(const follow_report& report) = 0;

    /** This instance follows the store again.
        @param duration_behind  time for which it did not */
    virtual void store_followed(duration duration_behind) = 0;
};

/** Decides whether this instance follows the store.

    It does not if its copy has not been confirmed for longer than a watch and
    the exchange between peers explain, or if it has got only answers that it
    did not take for two seconds. The second condition is needed because such
    answers confirm a copy that compares revisions only.

    An instance that no longer calls the store relies on its peers, so answers
    that were not taken count for some seconds only.

    @see store_follower
*/
class follow_monitor
{
public:
    /** Both references must outlive the monitor. */
    follow_monitor(const clock& time, follow_listener& listener);

    /** The store or a peer has confirmed the copy.
        @param time  time of the store's confirmation */
    void on_confirmed(time_point time);

    /** An answer of the store was taken. */
    void on_answer_taken();

    /** An answer of the store has a revision below the one held. */
    void on_answer_behind(std::uint64_t answered_revision);

    /** An answer of the store was refused because of its era.
        @param answered_revision  its revision; 0 if it has none */
    void on_answer_refused(std::uint64_t answered_revision);

    /** A call of the store has failed. */
    void on_failure(store_failure cause);

    /** Reports a change to the listener, and repeats it at a low rate while
        this instance does not follow the store. To be called several times a
        second.
        @param held_revision    revision up to which the copy is complete
        @param watch_wait_time  time after which the store answers a watch
                                without a change */
    void check(std::uint64_t held_revision, duration watch_wait_time);

    /** Returns whether this instance followed the store at the last check. */
    bool is_following() const noexcept
    {
        return trouble_ == follow_trouble::none;
    }

private:
    void on_answer_not_taken(follow_trouble why);
    follow_trouble find_trouble(duration watch_wait_time) const;

    const clock& clock_;
    follow_listener& listener_;
    follow_trouble trouble_ = follow_trouble::none;
    /** Start of the time for which this instance has not followed the store. */
    time_point trouble_start_{};
    time_point next_report_{};
    time_point confirmation_time_;
    /** Why the answers since the last one that was taken were not. */
    follow_trouble answer_trouble_ = follow_trouble::none;
    time_point first_untaken_{};
    time_point last_untaken_{};
    std::uint64_t answered_revision_ = 0;
    std::optional<store_failure> failure_;
};

} // namespace turmericlane
