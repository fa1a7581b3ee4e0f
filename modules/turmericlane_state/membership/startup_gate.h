#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <cstddef>

namespace turmericlane
{

/** Decides when an instance that has just started, or was paused, serves.

    It serves once a peer and the platform have answered and the highest version
    that it heard of is in force. Past a time limit it serves with any version,
    which then counts as not confirmed until a peer and the platform answer.
    Without a bundle it never serves.

    Decision code: one thread calls it at a time.

    @see platform_reader, version_spread
*/
class startup_gate
{
public:
    /** @param limit  time after which it serves unconfirmed
        @param time   clock; must outlive the gate */
    startup_gate(duration limit, const clock& time);

    /** The process was paused: what it knows has to be confirmed again. */
    void on_pause();

    /** Tells how many other instances list and peers name; with none, no
        peer is waited for. */
    void on_peer_count(std::size_t count);

    /** A peer answered and showed its version. A peer without a bundle does not
        count. */
    void on_peer_answer(std::uint64_t version);

    /** The platform answered and showed its version, or 0 for none newer. */
    void on_platform_answer(std::uint64_t version);

    /** The platform could not be read: it has been asked, peers count. */
    void on_platform_failure();

    /** A version came into force here. */
    void on_in_force(std::uint64_t version);

    /** True if requests may be served; otherwise they are refused with
        not_run. */
    bool serving() const;

    /** Why requests are refused: instance_starting or no_bundle; none if
        serving. */
    reason why_not() const;

    /** True once peers and platform have confirmed a version since the start or
        the last pause. */
    bool version_confirmed() const;

    /** When serving() may change without an event; time_point::max() for
        never. */
    time_point next_wakeup() const;

private:
    void update();

    duration limit_;
    const clock& clock_;
    time_point started_;
    bool peer_answered_ = false;
    bool platform_answered_ = false;
    bool platform_failed_ = false;
    bool alone_ = false;
    /** Set once, so that a version that appears later does not close the gate
        while it is on its way. */
    bool confirmed_ = false;
    std::uint64_t highest_ = 0;
    std::uint64_t in_force_ = 0;
};

} // namespace turmericlane
