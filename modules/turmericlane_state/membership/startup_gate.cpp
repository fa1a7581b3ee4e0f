#include "startup_gate.h"

#include <algorithm>

namespace turmericlane
{

startup_gate::startup_gate(duration limit, const clock& time)
    : limit_(limit)
    , clock_(time)
    , started_(time.now())
{
}

void startup_gate::on_pause()
{
    started_ = clock_.now();
    peer_answered_ = false;
    platform_answered_ = false;
    platform_failed_ = false;
    confirmed_ = false;
}

void startup_gate::on_peer_count(std::size_t count)
{
    alone_ = count == 0;
    update();
}

void startup_gate::on_peer_answer(std::uint64_t version)
{
    if (version == 0)
        return;
    peer_answered_ = true;
    highest_ = std::max(highest_, version);
    update();
}

void startup_gate::on_platform_answer(std::uint64_t version)
{
    platform_answered_ = true;
    highest_ = std::max(highest_, version);
    update();
}

void startup_gate::on_platform_failure()
{
    platform_failed_ = true;
    update();
}

void startup_gate::on_in_force(std::uint64_t version)
{
    in_force_ = std::max(in_force_, version);
    update();
}

bool startup_gate::serving() const
{
    return why_not() == reason::none;
}

reason startup_gate::why_not() const
{
    if (confirmed_)
        return reason::none;
    if (clock_.now() - started_ < limit_)
        return reason::instance_starting;
    return in_force_ == 0 ? reason::no_bundle : reason::none;
}

bool startup_gate::version_confirmed() const
{
    return confirmed_;
}

time_point startup_gate::next_wakeup() const
{
    auto end = started_ + limit_;
    if (confirmed_ || end <= clock_.now())
        return time_point::max();
    return end;
}

void startup_gate::update()
{
    bool peers = peer_answered_ || alone_;
    // A platform that is down has been asked; then a peer has to know.
    bool platform = platform_answered_ || (platform_failed_ && peer_answered_);
    bool newest = in_force_ > 0 && in_force_ >= highest_;
    confirmed_ = confirmed_ || (peers && platform && newest);
}

} // namespace turmericlane
