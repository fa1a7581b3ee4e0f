#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <optional>
#include <random>
#include <utility>

namespace turmericlane
{

/** Output interface of a platform_reader.

    @see platform_reader
*/
class platform_actions
{
public:
    virtual ~platform_actions() = default;

    /** Starts a read of the configuration service (GET /v1/bundle). The read
        ends with exactly one call of platform_reader::on_answer,
        on_older_version, on_refused_bundle or on_failure, which must not come
        from inside this method.
        @param known_version  a newer version is asked for: the one in force, or
                              the one below it (platform_reader::is_checking)
        @param max_wait       how long the service may hold the read open; zero
                              for an answer at once */
    virtual void read(std::uint64_t known_version, duration max_wait) = 0;
};

/** Settings of a platform_reader: delays and the bound on reads. */
struct platform_reader_limits
{
    /** How long the service may hold a read open. */
    duration max_wait = std::chrono::seconds(30);
    /** Delay after the first failure. It doubles with each failure in a row, up
        to max_delay, with jitter. */
    duration initial_delay = std::chrono::milliseconds(200);
    duration max_delay = std::chrono::seconds(30);
    /** Average delay after an answer whose bundle was refused. It does not
       grow, so that a later version is read soon after its publication. */
    duration refused_delay = std::chrono::seconds(3);
    /** Time between two checks whether the service has the version in force. */
    duration check_interval = std::chrono::minutes(5);
    /** Upper bound on the reads of this instance, whatever the service
        answers. */
    double reads_per_second = 2.0;
    /** Reads that may follow each other at once after a time without reads. */
    double burst = 3.0;
};

/** Watches the configuration service with one long poll, or reads it once.

    A long poll for a newer version does not show that the service was restored
    from an older copy. So the reader also checks at times whether the service
    has the version in force: when it starts to watch, after a failure, at
    intervals, and after each watch while the service has an older one.

    A token bucket bounds all reads together, so that a service that answers
    each long poll at once is not flooded: the 58 readers in a fleet of 2,400
    instances make at most 116 of the 2,000 reads a second that it can serve.

    The class does no I/O; one thread calls it at a time.

    @see membership_table::is_reader, startup_gate
*/
class platform_reader
{
public:
    /** @param limits       delays and bounds
        @param seed         seed of the jitter
        @param time_source  clock; must outlive the reader
        @param actions      makes the reads; must outlive the reader */
    platform_reader(
        const platform_reader_limits& limits,
        std::uint64_t seed,
        const clock& time_source,
        platform_actions& actions);

    /** Sets whether this instance watches the service for its data centre. */
    void set_watching(bool is_watching);

    /** Requests one read that is answered at once, even if this instance does
        not watch the service; for the start and after a pause. The read is
        repeated with growing delays until it succeeds. */
    void read_once();

    /** Sets the version in force; the next read asks for a newer one. */
    void set_version_in_force(std::uint64_t version);

    /** The service answered, with or without a new bundle. Call
        set_version_in_force first, since the next read may start from inside
        this method. */
    void on_answer();

    /** The service answered and has no version as high as the one in force: it
        was restored from an older copy, or a stale replica answered. */
    void on_older_version();

    /** The service answered, and its bundle was refused. */
    void on_refused_bundle();

    /** The service could not be read. */
    void on_failure();

    /** To be called at or after next_wakeup. */
    void on_timer();

    /** Returns when on_timer has to be called next; time_point::max() if it
        need not be called. */
    time_point next_wakeup() const;

    /** True if the read in flight checks whether the service has the version in
        force. Its answer without a bundle means that it has not. */
    bool is_checking() const noexcept
    {
        return is_checking_;
    }

    /** Returns the time since the last answer; nullopt if there was none. */
    std::optional<duration> time_since_answer() const;

    /** Returns the number of failures in a row. */
    std::uint32_t failures() const noexcept
    {
        return failures_;
    }

private:
    void end_read();
    void refill_tokens();

    platform_reader_limits limits_;
    std::mt19937_64 random_;
    const clock& clock_;
    platform_actions& actions_;
    bool is_watching_ = false;
    bool is_read_requested_ = false;
    bool is_reading_ = false;
    /** The read in flight was requested by read_once; if it fails, it is
        repeated. */
    bool is_reading_once_ = false;
    bool is_checking_ = false;
    /** The service had no version as high as the one in force. */
    bool is_older_ = false;
    time_point next_check_ = time_point::min();
    std::uint64_t version_in_force_ = 0;
    std::uint32_t failures_ = 0;
    time_point earliest_read_ = time_point::min();
    std::optional<time_point> last_answer_;
    /** Reads that may be made now, as tokens of the bucket. */
    double tokens_;
    time_point last_refill_;
};

} // namespace turmericlane
