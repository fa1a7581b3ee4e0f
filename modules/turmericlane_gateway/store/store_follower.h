#pragma once

#include <turmericlane_core/turmericlane_core.h>
#include <turmericlane_forwarding/model/route_configuration.h>
#include <turmericlane_forwarding/searchers/searcher_entry.h>

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace turmericlane
{

/** An item of the store that does not describe a searcher to use, or whose
    entry was removed. */
struct searcher_removal
{
    std::string id;
};

/** A change in the store, as the adapter has decoded it. */
using store_change =
    std::variant<route_configuration, searcher_entry, searcher_removal>;

/** An answer of the store. */
struct store_answer
{
    std::vector<store_change> changes;
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

/** Receives what a store_follower learns. */
class store_listener
{
public:
    virtual ~store_listener() = default;

    /** A change was read; versions may arrive twice or out of order. */
    virtual void store_changed(store_change&& change) = 0;

    /** A complete listing was read; searchers that it lacks are gone. */
    virtual void
    store_listed(std::span<const searcher_entry> searchers) = 0;

    /** The store is out of reach, or has answered again. */
    virtual void store_lost(store_failure why) = 0;
    virtual void store_returned() = 0;
};

/** Keeps a copy of a store that can be listed by pages and watched: lists, then
    watches from the revision that the first page stated, because pages are not
    a snapshot; lists again when the store has dropped its history.

    Decision code without I/O; one thread uses it.

    @see store_reader
*/
class store_follower
{
public:
    /** All references must outlive the follower.
        @param seed  seed of the jitter of retries */
    store_follower(
        const clock& time,
        store_reader& reader,
        store_listener& listener,
        std::uint64_t seed);

    /** Starts with the first page. */
    void start();

    /** The call under way was answered. */
    void on_answer(store_answer&& answer);

    /** The call under way has failed. */
    void on_failure(store_failure why);

    /** A peer has a newer version than the one read here: a watch that has gone
        silent is replaced at once. */
    void on_newer_version();

    /** Number of instances that share the store's rate of calls. */
    void set_instances(std::uint32_t instances, double calls_per_second);

    /** To be called at or after next_wakeup. */
    void on_timer();

    /** When on_timer wants to be called; time_point::max() for never. */
    time_point next_wakeup() const noexcept
    {
        return retry_at_;
    }

    /** When the store answered last; time_point{} for never. */
    time_point last_answer() const noexcept
    {
        return last_answer_;
    }

    /** True once a complete listing was read. */
    bool listed() const noexcept
    {
        return listed_;
    }

private:
    enum class phase : std::uint8_t
    {
        listing,
        watching
    };

    void call();
    void take_page(store_answer&& answer);

    const clock& clock_;
    store_reader& reader_;
    store_listener& listener_;
    std::uint64_t jitter_;
    phase phase_ = phase::listing;
    bool listed_ = false;
    bool lost_ = false;
    bool calling_ = false;
    std::uint32_t failures_ = 0;
    std::string after_;
    std::uint64_t list_revision_ = 0;
    std::uint64_t revision_ = 0;
    std::vector<searcher_entry> searchers_;
    duration watch_time_;
    time_point retry_at_ = time_point::max();
    time_point last_answer_{};
};

} // namespace turmericlane
