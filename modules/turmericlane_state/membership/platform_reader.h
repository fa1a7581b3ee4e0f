#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <optional>
#include <random>
#include <utility>

namespace turmericlane
{

/** What a platform_reader asks of its surroundings.

    @see platform_reader
*/
class platform_actions
{
public:
    virtual ~platform_actions() = default;

    /** Reads the configuration service (GET /v1/bundle). Ends with exactly one
        of platform_reader::on_answer and on_failure. The implementation must
        not call back from inside. */
    virtual void read(std::uint64_t after, duration wait) = 0;
};

/** Periods and bounds of a platform_reader. */
struct platform_reader_limits
{
    /** How long the service may hold a read open. */
    duration wait = std::chrono::seconds(30);
    /** First delay after a failure; doubles with each failure in a row, with
        jitter. */
    duration first_delay = std::chrono::milliseconds(200);
    duration longest_delay = std::chrono::seconds(30);
    /** Reads of this instance at most, whatever the service answers. */
    double reads_per_second = 2.0;
    /** Reads that may be made at once after a quiet time. */
    double burst = 3.0;
};

/** Watches the configuration service with one long poll, or reads it once.

    The bound on reads holds for all reads together, so that a service that
    answers each long poll at once is not flooded: 58 readers at 2,400 nodes
    make at most 116 of its 2,000 reads a second.

    Decision code: one thread calls it at a time.

    @see membership_table::is_reader, startup_gate
*/
class platform_reader
{
public:
    /** @param limits   periods and bounds
        @param seed     seed of the jitter
        @param time     clock; must outlive the reader
        @param actions  receives the actions; must outlive the reader */
    platform_reader(
        const platform_reader_limits& limits,
        std::uint64_t seed,
        const clock& time,
        platform_actions& actions);

    /** Says whether this instance is a reader of its data centre. */
    void set_watching(bool watching);

    /** Asks for one read that does not wait, also if not watching: at the start
        and after a pause. It is repeated with back-off until it succeeds. */
    void read_once();

    /** Tells the version in force, which the next read asks beyond. */
    void set_in_force(std::uint64_t version);

    /** The service answered, with or without a new bundle. The next read may
        start from inside, so set_in_force comes first. */
    void on_answer();

    /** The service could not be read, or its answer was refused. */
    void on_failure();

    /** To be called at or after next_wakeup. */
    void on_timer();

    /** When on_timer wants to be called; time_point::max() for never. */
    time_point next_wakeup() const;

    /** Time since the last answer; nothing if there was none. */
    std::optional<duration> age() const;

    /** Failures in a row. */
    std::uint32_t failures() const noexcept
    {
        return failures_;
    }

private:
    void refill();

    platform_reader_limits limits_;
    std::mt19937_64 random_;
    const clock& clock_;
    platform_actions& actions_;
    bool watching_ = false;
    bool once_ = false;
    bool reading_ = false;
    /** The read in flight does not wait, and is repeated if it fails. */
    bool reading_once_ = false;
    std::uint64_t in_force_ = 0;
    std::uint32_t failures_ = 0;
    time_point not_before_ = time_point::min();
    std::optional<time_point> answered_;
    double tokens_;
    time_point refilled_;
};

} // namespace turmericlane
