#pragma once

#include "../membership/member.h"
#include "item_table.h"

namespace turmericlane
{

/** An answer of the store. */
struct store_answer
{
    std::vector<store_item> items;
    /** Revision of the store at which the answer was made. */
    std::uint64_t revision = 0;
    /** Last key of a page; the next page begins after it. */
    std::string last_key;
    /** There are more pages. */
    bool more = false;
};

/** Why the store gave no answer. */
enum class store_failure : std::uint8_t
{
    /** It could not be reached, or did not answer in time. */
    unreachable,
    /** It refused the call. */
    refused,
    /** It has dropped the changes since the revision asked for. */
    history_lost,
    /** Its answer could not be read. */
    malformed
};

/** Name for logs. */
std::string_view to_string(store_failure value) noexcept;

/** Receives the end of each call of a store_reader. */
class store_call_listener
{
public:
    virtual ~store_call_listener() = default;

    /** The call under way was answered. */
    virtual void on_store_answer(store_answer&& answer) = 0;

    /** The call under way has failed. */
    virtual void on_store_failure(store_failure why) = 0;
};

/** Reads from the store; implemented by an adapter. One call is under way at a
    time, and each ends with a store_call_listener's method. */
class store_reader
{
public:
    virtual ~store_reader() = default;

    /** Reads a page of all items.
        @param after     last key of the page before; empty for the first
        @param deadline  time after which the call has failed */
    virtual void read_page(const std::string& after, duration deadline) = 0;

    /** Waits for changes.
        @param revision  changes after it are wanted
        @param wait      how long the store holds the call without a change
        @param deadline  time after which the call has failed */
    virtual void
    watch(std::uint64_t revision, duration wait, duration deadline) = 0;
};

/** What a store_follower asks of its surroundings, and what it tells them; must
    not call back. */
class store_listener
{
public:
    virtual ~store_listener() = default;

    /** An item is new, changed or removed. */
    virtual void item_changed(const store_item& item) = 0;

    /** The state is complete for the first time. */
    virtual void store_complete() = 0;

    /** This instance cannot reach the store, or can again. */
    virtual void store_lost(store_failure why) = 0;
    virtual void store_returned() = 0;

    /** Removals that arrive until then may be undone, because the store has
        been away. */
    virtual void store_settling(time_point until) = 0;

    /** Passes changes that were read from the store to the peers. */
    virtual void push(const feed_message& changes) = 0;

    /** Asks a peer for the changes after a revision; on_pulled or
        on_pull_failed follows. */
    virtual void pull(const endpoint& peer, std::uint64_t after) = 0;
};

/** Keeps a copy of a store that can be listed by pages and watched, and shares
    it with the peers, so that few instances read the store.

    The live instances have an order; the first few read: they list, then watch
    from the revision that the first page stated, because pages are not a
    snapshot, and list again when the store has dropped its history. They push
    changes to the others. Every message between instances states the revision
    up to which its sender is complete and how long ago the store confirmed it;
    one that is behind pulls from a peer. An instance whose state has not been
    confirmed for too long reads the store itself, sooner or later by its place
    in the order.

    Decision code without I/O; one thread uses it.

    @see store_reader, item_table
*/
class store_follower
{
public:
    /** References must outlive the follower.
        @param seed  seed of the jitter */
    store_follower(
        const clock& time,
        store_reader& reader,
        store_listener& listener,
        std::uint64_t seed);

    /** Starts to read.
        @param patience  how long to wait for the state of a peer before: many
                         instances that start at once would read the same */
    void start(duration patience = duration::zero());

    /** The store has answered, or the call has failed. */
    void on_answer(store_answer&& answer);
    void on_failure(store_failure why);

    /** A peer states up to which revision it is complete, and how old the
        store's confirmation of that is. */
    void on_peer(const endpoint& peer, std::uint64_t through, duration age);

    /** A peer has pushed items. */
    void on_feed(const feed_message& message);

    /** The pull under way was answered, or has failed. */
    void on_pulled(const feed_message& message);
    void on_pull_failed();

    /** Sets the place of this instance in the order of the live ones, from 0,
        their number, and the rate of calls that they share. */
    void set_place(
        std::uint32_t place, std::uint32_t instances, double calls_per_second);

    /** To be called at or after next_wakeup. */
    void on_timer();

    /** When on_timer wants to be called; time_point::max() for never. */
    time_point next_wakeup() const;

    /** Items for a peer that is complete up to a revision. */
    feed_message feed_since(std::uint64_t revision) const;

    /** Revision up to which the state is complete; 0 for none. */
    std::uint64_t through() const noexcept
    {
        return through_;
    }

    /** Time since the store confirmed the state. */
    duration age() const;

    /** True while the store is out of reach for this instance. */
    bool lost() const noexcept
    {
        return lost_;
    }

    /** True once the state has been complete. */
    bool complete() const noexcept
    {
        return through_ > 0;
    }

private:
    enum class phase : std::uint8_t
    {
        listing,
        watching
    };

    bool reads() const;
    time_point read_due() const;
    void read_if_due();
    void call();
    duration page_time() const;
    void take_page(store_answer&& answer);
    void take_changes(store_answer&& answer);
    void confirm(time_point when);
    void advance(std::uint64_t revision);
    void pull_if_due();
    double jitter();

    const clock& clock_;
    store_reader& reader_;
    store_listener& listener_;
    std::uint64_t random_;
    item_table items_;
    phase phase_ = phase::listing;
    bool started_ = false;
    bool lost_ = false;
    bool calling_ = false;
    std::uint32_t failures_ = 0;
    std::string after_;
    std::uint64_t list_revision_ = 0;
    std::vector<store_item> listed_;
    std::uint64_t through_ = 0;
    time_point confirmed_{};
    time_point settling_until_{};
    std::uint32_t place_ = 0;
    duration watch_time_;
    /** No call before this time. */
    time_point call_not_before_{};
    time_point called_at_{};
    /** Peer that is ahead, and when it is asked. */
    std::optional<endpoint> ahead_;
    std::uint64_t ahead_through_ = 0;
    time_point pull_at_ = time_point::max();
    bool pulling_ = false;
};

} // namespace turmericlane
