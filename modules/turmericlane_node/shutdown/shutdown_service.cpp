#include "shutdown_service.h"

#include "../log/event.h"

namespace turmericlane
{

namespace
{

/** Added to the lifetime of instance answers, since clocks differ and an answer
    takes time to reach the caller. */
constexpr std::chrono::milliseconds leaving_margin{500};

/** Interval at which the requests in flight are counted during the shutdown. */
constexpr std::chrono::milliseconds poll_period{20};

} // namespace

shutdown_service::shutdown_service(const instance_settings& settings)
    : settings_(settings)
{
}

std::optional<std::string> shutdown_service::start(kernel& owner)
{
    engine_ = owner.find_as<engine>("engine");
    members_ = owner.find_as<member_service>("members");
    search_ = owner.find_as<search_service>("search");
    bookings_ = owner.find_as<booking_service>("bookings");
    shutdown_limits limits;
    limits.leaving_time = settings_.answer_lifetime + leaving_margin;
    limits.total_time = settings_.shutdown_limit;
    engine_->run_and_wait(
        [&]
        {
            sequence_ = std::make_unique<shutdown_sequence>(
                limits, engine_->time_source(), *this);
        });
    engine_->add(*this);
    return std::nullopt;
}

void shutdown_service::stop() {}

void shutdown_service::terminate()
{
    engine_->post([this] { sequence_->on_termination_signal(); });
}

std::size_t shutdown_service::wait()
{
    return stop_promise_.get_future().get();
}

shutdown_phase shutdown_service::phase() const
{
    return sequence_->phase();
}

std::size_t shutdown_service::in_flight_count() const
{
    return request_count_ + search_->in_flight_count() +
           bookings_->in_flight_count();
}

time_point shutdown_service::on_iteration()
{
    const auto phase = sequence_->phase();
    if (phase == shutdown_phase::serving || phase == shutdown_phase::stopped)
        return time_point::max();
    sequence_->on_in_flight_count(in_flight_count());
    const auto now = engine_->time_source().now();
    if (now >= sequence_->next_wakeup())
        sequence_->on_timer();
    return std::min(sequence_->next_wakeup(), now + poll_period);
}

void shutdown_service::leave()
{
    log_phase(shutdown_phase::leaving);
    members_->table().start_leaving();
}

void shutdown_service::drain()
{
    log_phase(shutdown_phase::draining);
    is_draining_ = true;
    bookings_->start_draining();
}

void shutdown_service::stop(std::size_t unanswered_count)
{
    log_phase(shutdown_phase::stopped);
    if (unanswered_count > 0)
        log_event(
            event::requests_cut, {{"count", std::to_string(unanswered_count)}});
    stop_promise_.set_value(unanswered_count);
}

void shutdown_service::log_phase(shutdown_phase phase) const
{
    log_event(
        event::shutdown_phase,
        {{"phase", std::string(to_string(phase))},
         {"in_flight", std::to_string(in_flight_count())}});
}

} // namespace turmericlane
