#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <cstddef>

namespace turmericlane
{

/** Decides when an instance that has just started, or was paused, may serve
    requests.

    It serves once a peer and the platform have answered and the highest version
    that either of them showed is in force. After a time limit it serves with
    any version, which counts as unconfirmed until a peer and the platform have
    answered. Without a bundle it does not serve.

    The class does no I/O; one thread calls it at a time.

    @see platform_reader, version_spread
*/
class startup_gate
{
public:
    /** @param time_limit   time after which an unconfirmed version is served
        @param time_source  clock; must outlive the gate */
    startup_gate(duration time_limit, const clock& time_source);

    /** The process was paused: the version has to be confirmed again. */
    void on_pause();

    /** Sets how many other instances are known from the platform's list and
        from peers. If there are none, no answer of a peer is needed. */
    void on_peer_count(std::size_t count);

    /** A peer answered and showed its version. An answer of a peer without a
        bundle (version 0) does not count. */
    void on_peer_answer(std::uint64_t version);

    /** The platform answered with its version, or with 0 if it has none
        newer. */
    void on_platform_answer(std::uint64_t version);

    /** The platform could not be read. The answer of a peer suffices then. */
    void on_platform_failure();

    /** A version came into force in this instance. */
    void on_version_in_force(std::uint64_t version);

    /** True if requests may be served; otherwise they are refused with
        not_run. */
    bool is_serving() const;

    /** Returns why requests are refused: instance_starting or no_bundle; none
        if they are served. */
    reason refusal_reason() const;

    /** True once a peer and the platform have confirmed the version in force,
        since the start or the last pause. */
    bool is_version_confirmed() const;

    /** Returns when is_serving may change without an event; time_point::max()
        if it will not. */
    time_point next_wakeup() const;

private:
    void update_confirmation();

    duration time_limit_;
    const clock& clock_;
    time_point start_time_;
    bool has_peer_answered_ = false;
    bool has_platform_answered_ = false;
    bool has_platform_failed_ = false;
    bool has_no_peers_ = false;
    /** Stays set when a higher version is shown later: the instance goes on
        serving until that version arrives. */
    bool is_confirmed_ = false;
    std::uint64_t highest_version_ = 0;
    std::uint64_t version_in_force_ = 0;
};

} // namespace turmericlane
