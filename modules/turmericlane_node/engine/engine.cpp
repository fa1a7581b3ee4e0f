#include "engine.h"

#include "../log/event.h"

#include <algorithm>

namespace turmericlane
{

namespace
{

/** A longer gap between two iterations of the loop counts as a pause of the
    process. The limit is shorter than the timeout of heartbeats, so that a
    process detects its pause before another one can have replaced it
    unnoticed. */
constexpr std::chrono::milliseconds pause_limit{1000};

} // namespace

engine::engine()
    : loop_(clock_, pause_limit)
{
}

std::optional<std::string> engine::start(kernel&)
{
    loop_.start(*this);
    return std::nullopt;
}

void engine::stop()
{
    loop_.stop();
}

void engine::add(loop_component& component)
{
    loop_.run_and_wait([&] { components_.push_back(&component); });
}

time_point engine::on_iteration()
{
    auto next = time_point::max();
    for (auto* it : components_)
        next = std::min(next, it->on_iteration());
    return next;
}

void engine::on_pause(duration length)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    log_event(
        event::pause_detected,
        {{"length_ms",
          std::to_string(duration_cast<milliseconds>(length).count())}});
    for (auto* it : components_)
        it->on_pause(length);
}

} // namespace turmericlane
