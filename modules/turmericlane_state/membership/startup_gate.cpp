#include "startup_gate.h"

#include <algorithm>

namespace turmericlane
{

startup_gate::startup_gate(duration time_limit, const clock& time_source)
    : time_limit_(time_limit)
    , clock_(time_source)
    , start_time_(time_source.now())
{
}

void startup_gate::on_pause()
{
    start_time_ = clock_.now();
    has_peer_answered_ = false;
    has_platform_answered_ = false;
    has_platform_failed_ = false;
    is_confirmed_ = false;
    // The instance that stated a higher version may be gone.
    highest_version_ = version_in_force_;
}

void startup_gate::on_peer_count(std::size_t count)
{
    has_no_peers_ = count == 0;
    update_confirmation();
}

void startup_gate::on_peer_answer(std::uint64_t version)
{
    if (version == 0)
        return;
    has_peer_answered_ = true;
    highest_version_ = std::max(highest_version_, version);
    update_confirmation();
}

void startup_gate::on_platform_answer(std::uint64_t version)
{
    has_platform_answered_ = true;
    highest_version_ = std::max(highest_version_, version);
    update_confirmation();
}

void startup_gate::on_platform_failure()
{
    has_platform_failed_ = true;
    update_confirmation();
}

void startup_gate::on_version_in_force(std::uint64_t version)
{
    version_in_force_ = std::max(version_in_force_, version);
    update_confirmation();
}

bool startup_gate::is_serving() const
{
    return refusal_reason() == reason::none;
}

reason startup_gate::refusal_reason() const
{
    if (is_confirmed_)
        return reason::none;
    if (clock_.now() - start_time_ < time_limit_)
        return reason::instance_starting;
    return version_in_force_ == 0 ? reason::no_bundle : reason::none;
}

bool startup_gate::is_version_confirmed() const
{
    return is_confirmed_;
}

time_point startup_gate::next_wakeup() const
{
    auto end = start_time_ + time_limit_;
    if (is_confirmed_ || end <= clock_.now())
        return time_point::max();
    return end;
}

void startup_gate::update_confirmation()
{
    bool is_peer_condition_met = has_peer_answered_ || has_no_peers_;
    // If the platform could not be read, a peer has to have answered.
    bool is_platform_condition_met =
        has_platform_answered_ || (has_platform_failed_ && has_peer_answered_);
    bool is_version_newest =
        version_in_force_ > 0 && version_in_force_ >= highest_version_;
    is_confirmed_ =
        is_confirmed_ || (is_peer_condition_met && is_platform_condition_met &&
                          is_version_newest);
}

} // namespace turmericlane
