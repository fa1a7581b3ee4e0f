#pragma once

#include "item_table.h"
#include "store_call_counts.h"
#include "store_listener.h"

namespace turmericlane
{

/** Statement of a peer about its copy of the store. */
struct peer_copy_state
{
    /** Era of the revision; std::nullopt from an instance of a build that
        states none. */
    std::optional<store_era> era;
    /** Revision up to which the peer's copy is complete. */
    std::uint64_t revision = 0;
    /** Time since the store confirmed that revision. */
    duration age{};
};

/** Keeps a copy of the store and shares it with the peers, so that only a few
    instances read the store.

    The live instances are ordered, and the first few of them read the store.
    They list it page by page. Since the pages do not form a consistent
    snapshot, they then watch for changes from the revision of the first page.
    They list the store again when it no longer has the changes since their
    revision. They push changes to the other instances.

    Each message between instances states the position up to which the sender's
    copy is complete and the time since the store confirmed it. An instance
    whose copy is older pulls the changes from a peer. An instance whose copy
    has not been confirmed for too long reads the store itself, early enough for
    a change to be in force in time, and the sooner the earlier its position in
    the order is.

    The store may come back from an older copy. Its revisions then go back and
    are given out again, so positions are compared with their era. A new era
    begins when the store states a greater number than before, or when an answer
    contradicts what it has said: a revision below one known before the call, or
    an item in an older state. The listing of the new era replaces what is held,
    but for values that are provably newer (see item_order). An answer or a peer
    of an older era is refused. After an outage of a store that states no
    number, it is listed, because its counter may have passed the revision held.

    Peers of a build that states no era may not know of a return. What they say
    only leads to a call of the store.

    No answer of the store makes the calls follow each other without a pause.

    This class does no I/O. Not thread-safe: only one thread may use a follower
    at a time.

    @see store_reader, item_table
*/
class store_follower
{
public:
    /** The references must outlive the follower.
        @param time      clock
        @param reader    reads the store
        @param listener  receives changes and exchanges them with the peers
        @param order     decides which values outlast those of an older copy
        @param seed      seed of the random delays */
    store_follower(
        const clock& time,
        store_reader& reader,
        store_listener& listener,
        const item_order& order,
        std::uint64_t seed);

    /** Starts to read the store.
        @param peer_wait_time  time to wait first for the copy of a peer, so
                               that instances that start together do not all
                               read the store */
    void start(duration peer_wait_time = duration::zero());

    /** Handles the store's answer to the pending call. */
    void on_answer(store_answer&& answer);

    /** Handles the failure of the pending call.
        @param reported_era  number of the era that the store has stated;
                             std::nullopt if none */
    void
    on_failure(store_failure cause, std::optional<std::uint64_t> reported_era);

    /** Handles a statement of a peer about its copy. */
    void on_peer_state(const endpoint& peer, const peer_copy_state& state);

    /** Handles items that a peer has pushed. */
    void on_feed(const feed_message& message);

    /** Handles the answer to the pending pull. */
    void on_pulled(const feed_message& message);

    /** Handles the failure of the pending pull. */
    void on_pull_failed();

    /** Sets the position of this instance in the order of the live instances.
        @param position          position, counted from 0
        @param instance_count    number of live instances
        @param calls_per_second  rate of store calls that the instances share */
    void set_position(
        std::uint32_t position,
        std::uint32_t instance_count,
        double calls_per_second);

    /** Sets the time within which a change has to be in force on each instance,
        from the store's acknowledgement; 3 s by default. To be called before
        set_position. */
    void set_change_limit(duration limit);

    /** Starts the calls and pulls that are due. To be called at or after
        next_wakeup. */
    void on_timer();

    /** Returns the time at which on_timer has to be called;
        time_point::max() for never. */
    time_point next_wakeup() const;

    /** Returns the items for a peer whose copy is complete up to a revision.
        @param era  era of the revision; std::nullopt if the peer states none */
    feed_message
    feed_since(std::optional<store_era> era, std::uint64_t revision) const;

    /** Returns the position up to which the copy is complete; its revision is
        0 for none. */
    const store_position& position() const noexcept
    {
        return position_;
    }

    /** Returns the time since the store confirmed the copy. */
    duration age() const;

    /** Returns true while this instance cannot reach the store. */
    bool is_store_lost() const noexcept
    {
        return is_store_lost_;
    }

    /** Returns true once the copy has been complete. */
    bool is_complete() const noexcept
    {
        return position_.revision > 0;
    }

    /** Returns the time after which the store answers a watch without a change.
        The confirmation of this instance and its peers is that old at times. */
    duration watch_wait_time() const noexcept
    {
        return watch_wait_time_;
    }

    /** Returns the numbers of calls and exchanges since the start. */
    const store_call_counts& counts() const noexcept
    {
        return counts_;
    }

private:
    enum class phase : std::uint8_t
    {
        listing,
        watching
    };

    /** What was known when a call started. The store's answer to the call must
        not be older. */
    struct call_basis
    {
        store_position position;
        /** Highest revision that the store is known to have had. */
        std::uint64_t known_revision = 0;
        /** Highest revision that a peer without an era has claimed. */
        std::uint64_t claimed_revision = 0;
    };

    /** A complete copy of the store's items. */
    struct store_copy
    {
        store_position position;
        std::span<const store_item> items;
        std::span<const store_item> retained_items;
        return_evidence evidence = return_evidence::stated_era;
        time_point settling_end{};
        time_point retention_end{};
    };

    bool is_reader() const;
    /** Returns the age of the last confirmation at which this instance reads
        the store itself. The ages of all instances lie in a window that ends
        before a change could be late anywhere, whoever is lost. A fleet that is
        large for the store's rate of calls has a longer window, and then the
        rate goes before the time. */
    duration stale_age(double calls_per_second) const;
    bool is_behind(std::optional<std::uint64_t> reported_era) const;
    store_era era_of(std::optional<std::uint64_t> reported_era) const;
    time_point next_retention_end() const;
    time_point next_call_time() const;
    void call_if_due();
    void call_store();
    void count_failure(store_failure cause);
    duration page_timeout() const;
    void refuse_answer(std::uint64_t stated_era);
    void apply_page(store_answer&& answer);
    void apply_listing(std::uint64_t end_revision);
    std::optional<return_evidence>
    find_contradiction(std::uint64_t end_revision) const;
    void apply_changes(store_answer&& answer);
    void take_copy(const store_copy& copy);
    void restart_listing();
    void delay_repeated_call();
    duration retry_delay(std::uint32_t repetitions);
    void check_claims(const call_basis& basis);
    void on_claim(std::uint64_t revision);
    void plan_pull(const endpoint& peer, const store_position& position);
    void set_confirmed(time_point time);
    void advance_revision(std::uint64_t revision);
    void pull_if_due();
    double random_fraction();

    const clock& clock_;
    store_reader& reader_;
    store_listener& listener_;
    std::uint64_t random_state_;
    item_table items_;
    phase phase_ = phase::listing;
    bool is_started_ = false;
    bool is_store_lost_ = false;
    time_point store_loss_time_{};
    bool is_call_pending_ = false;
    std::uint32_t failure_count_ = 0;
    /** Number of answers in a row that brought nothing and came at once. */
    std::uint32_t fruitless_count_ = 0;
    call_basis call_basis_;
    std::string last_page_key_;
    call_basis listing_basis_;
    store_position listing_position_;
    time_point listing_time_{};
    std::vector<store_item> listed_items_;
    std::uint32_t page_count_ = 0;
    /** True if the store has to be listed before it is watched again. */
    bool is_listing_due_ = false;
    /** Highest number of an era that the store has stated to this instance. */
    std::uint64_t highest_reported_era_ = 0;
    store_position position_;
    /** Highest revision of the current era that a peer has stated. */
    std::uint64_t stated_revision_ = 0;
    time_point confirmation_time_{};
    time_point settling_end_{};
    time_point retention_end_{};
    std::uint32_t instance_position_ = 0;
    std::uint32_t instance_count_ = 1;
    duration change_limit_ = std::chrono::seconds(3);
    duration stale_age_{};
    duration watch_wait_time_;
    /** Wait time of the pending watch. */
    duration call_wait_time_{};
    /** No call starts before this time. */
    time_point earliest_call_time_{};
    time_point call_start_time_{};
    /** Highest revision that a peer without an era has claimed, and the time
        at which the store is asked for it. */
    std::uint64_t claimed_revision_ = 0;
    time_point claim_check_time_ = time_point::max();
    /** True if peers without an era may not know of the store's return. */
    bool are_claims_refuted_ = false;
    /** Peer that has a newer position. */
    std::optional<endpoint> newer_peer_;
    store_position newer_peer_position_;
    time_point pull_time_ = time_point::max();
    bool is_pull_pending_ = false;
    store_call_counts counts_;
};

} // namespace turmericlane
