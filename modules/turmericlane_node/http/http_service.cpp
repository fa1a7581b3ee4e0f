#include "http_service.h"

#include "../api/booking_api.h"
#include "../api/field_reader.h"
#include "../api/search_api.h"
#include "../log/event.h"

#include <nlohmann/json.hpp>

#include <exception>

namespace turmericlane
{

namespace
{

/** Limit for the body of a request. Its largest field is the payload of a
    booking. */
constexpr std::size_t body_limit_bytes = std::size_t{64} * 1024;

/** Describes a request that the HTTP server refused by itself. */
api_error make_frontend_refusal(int status)
{
    switch (status)
    {
    case 400:
        return make_refusal(reason::bad_field, "the request is not HTTP");
    case 408:
        return make_refusal(
            reason::peer_too_slow, "the request did not arrive in time");
    case 413:
        return make_refusal(
            reason::body_too_large, "the body is larger than " +
                                        std::to_string(body_limit_bytes) +
                                        " bytes");
    case 415:
        return make_refusal(
            reason::bad_field, "compressed bodies are not accepted");
    case 431:
        return make_refusal(
            reason::bad_field, "the head of the request is too large");
    case 503:
        return make_refusal(
            reason::queue_full, "the memory for requests is used up");
    default:
        return make_refusal(reason::bad_field, "there is no such path");
    }
}

/** Runs a task on the engine's loop.
    @returns the value of the task; nullopt if the loop has stopped */
template <class Task>
auto run_on_engine(engine& target, Task task) -> std::optional<decltype(task())>
{
    std::optional<decltype(task())> value;
    target.run_and_wait([&] { value.emplace(task()); });
    return value;
}

} // namespace

http_service::http_service(
    const instance_settings& settings,
    std::uint64_t nonce,
    metrics_registry& registry,
    instance_counters& counters)
    : settings_(settings)
    , nonce_(nonce)
    , registry_(registry)
    , counters_(counters)
{
    for (auto it : all_ranks)
        latency_by_rank_[index_of(it)] = &registry.histogram_of(
            "turmericlane_search_duration_microseconds",
            "Time from the arrival of a search to its answer.",
            {{"rank", std::string(to_string(it))}});
}

http_service::~http_service() = default;

std::optional<std::string> http_service::start(kernel& owner)
{
    engine_ = owner.find_as<engine>("engine");
    members_ = owner.find_as<member_service>("members");
    versions_ = owner.find_as<version_service>("versions");
    search_ = owner.find_as<search_service>("search");
    bookings_ = owner.find_as<booking_service>("bookings");
    shutdown_ = owner.find_as<shutdown_service>("shutdown");
    http_frontend_settings frontend_settings;
    frontend_settings.host = settings_.address;
    frontend_settings.port = settings_.http_port;
    frontend_settings.threads = settings_.http_threads;
    frontend_settings.max_connections = settings_.http_connections;
    frontend_settings.max_memory_bytes = settings_.http_memory_bytes;
    frontend_settings.limits.max_body_bytes = body_limit_bytes;
    frontend_settings.limits.request_timeout = settings_.http_request_timeout;
    frontend_ = std::make_unique<http_frontend>(frontend_settings);
    add_handlers();
    const auto port = frontend_->start();
    if (!port)
        return port.error();
    log_event(
        event::http_listening,
        {{"address", settings_.address}, {"port", std::to_string(*port)}});
    return std::nullopt;
}

void http_service::stop()
{
    frontend_->stop();
}

template <class Handler>
http_frontend::request_handler http_service::wrap_handler(Handler handler)
{
    return [this, handler](const http_request& request)
    {
        request_scope scope(*shutdown_);
        try
        {
            return (this->*handler)(request);
        }
        catch (const std::exception& exception)
        {
            log_event(event::handler_failed, {{"detail", exception.what()}});
            // The engine may have received the request already, so it is not
            // known whether it ran.
            return make_refusal_response(
                {verdict::unknown(reason::internal_error),
                 exception.what(),
                 {}},
                rank::ordinary);
        }
    };
}

void http_service::add_handlers()
{
    frontend_->add_post_handler(
        "/v1/search", wrap_handler(&http_service::serve_search));
    frontend_->add_post_handler(
        "/v1/tickets", wrap_handler(&http_service::serve_ticket));
    frontend_->add_post_handler(
        "/v1/bookings", wrap_handler(&http_service::serve_booking));
    frontend_->add_get_handler(
        "/v1/instances", wrap_handler(&http_service::serve_instances));
    frontend_->add_get_handler(
        "/v1/status", wrap_handler(&http_service::serve_status));
    frontend_->add_get_handler(
        "/metrics", wrap_handler(&http_service::serve_metrics));
    frontend_->set_refusal_handler(
        [this](int status)
        {
            auto response = make_refusal_response(
                make_frontend_refusal(status), rank::ordinary);
            response.status = status;
            return response;
        });
}

http_response
http_service::make_refusal_response(const api_error& error, rank request_rank)
{
    counters_.count_refusal(error.error_verdict.cause, request_rank);
    return {http_status_of(error.error_verdict), to_json(error)};
}

std::optional<api_error>
http_service::find_state_refusal(const http_request& request)
{
    const auto cause = state_refusal_cause();
    if (cause == reason::none)
        return std::nullopt;
    const auto* detail = cause == reason::instance_leaving
                             ? "the instance is shutting down"
                             : "the instance isn't ready to serve";
    return make_refusal(cause, detail, request_id_of(request.body));
}

reason http_service::state_refusal_cause()
{
    if (shutdown_->is_draining())
        return reason::instance_leaving;
    const auto cause = run_on_engine(
        *engine_,
        [this]
        {
            const auto version_cause = versions_->status().refusal_cause;
            if (version_cause != reason::none)
                return version_cause;
            return members_->is_ready() ? reason::none
                                        : reason::instance_starting;
        });
    return cause.value_or(reason::instance_leaving);
}

http_response http_service::serve_search(const http_request& request)
{
    const auto arrival_time = engine_->time_source().now();
    if (auto refusal = find_state_refusal(request))
        return make_refusal_response(*refusal, rank::ordinary);
    const auto bundle_in_force = versions_->bundle_in_force();
    const auto search_parameters =
        parse_search(request.body, *bundle_in_force, arrival_time);
    if (!search_parameters)
        return make_refusal_response(search_parameters.error(), rank::ordinary);
    std::promise<search_answer> answer_promise;
    auto future_answer = answer_promise.get_future();
    const auto is_started = search_->search(
        *search_parameters, [&answer_promise](const search_answer& answer)
        { answer_promise.set_value(answer); });
    if (!is_started)
        return make_refusal_response(
            make_refusal(
                reason::instance_leaving, "the instance has stopped",
                search_parameters->caller_request_id),
            search_parameters->request_rank);
    const auto answer = future_answer.get();
    latency_by_rank_[index_of(search_parameters->request_rank)]->record(
        engine_->time_source().now() - arrival_time);
    return {http_status_of(answer.state), to_json(answer, *bundle_in_force)};
}

http_response http_service::serve_ticket(const http_request& request)
{
    if (auto refusal = find_state_refusal(request))
        return make_refusal_response(*refusal, rank::urgent);
    const auto issue_result =
        run_on_engine(*engine_, [this] { return bookings_->issue_ticket(); });
    if (!issue_result)
        return make_refusal_response(
            make_refusal(reason::instance_leaving, "the instance has stopped"),
            rank::urgent);
    const auto& issued_ticket = *issue_result;
    if (!issued_ticket)
        return make_refusal_response(
            make_refusal(issued_ticket.error(), "no ticket can be issued"),
            rank::urgent);
    nlohmann::json body;
    body["ticket"] = to_text(*issued_ticket);
    body["expires_in_ms"] = bookings_->ticket_lifetime().count();
    return {200, body.dump()};
}

http_response http_service::serve_booking(const http_request& request)
{
    const auto arrival_time = engine_->time_source().now();
    const auto bundle_in_force = versions_->bundle_in_force();
    if (bundle_in_force == nullptr)
        return make_refusal_response(
            make_refusal(reason::no_bundle, "no bundle is in force"),
            rank::urgent);
    const auto form = parse_booking(request.body, *bundle_in_force);
    if (!form)
        return make_refusal_response(form.error(), rank::urgent);
    const auto parsed_ticket = parse_ticket(form->ticket);
    if (!parsed_ticket)
        return make_refusal_response(
            make_refusal(reason::ticket_invalid, "the ticket is malformed"),
            form->request_rank);
    booking_request booking;
    booking.booking_ticket = *parsed_ticket;
    booking.service =
        bundle_in_force->find_service(std::string_view(form->service))->id;
    booking.key = form->key;
    booking.payload = form->payload;
    booking.request_rank = form->request_rank;
    booking.deadline = arrival_time + form->time_left;
    std::promise<booking_answer> answer_promise;
    auto future_answer = answer_promise.get_future();
    const auto is_started = bookings_->book(
        booking, [&answer_promise](const booking_answer& answer)
        { answer_promise.set_value(answer); });
    // Once the engine has stopped, it is not known whether an earlier request
    // with this ticket ran.
    if (!is_started)
        return make_refusal_response(
            {verdict::unknown(reason::instance_leaving),
             "the instance has stopped", form->ticket},
            form->request_rank);
    const auto answer = future_answer.get();
    return {
        http_status_of(answer.final_verdict),
        booking_json(answer.final_verdict, answer.body, form->ticket)};
}

http_response http_service::serve_instances(const http_request&)
{
    const auto answer =
        run_on_engine(*engine_, [this] { return members_->make_answer(); });
    if (!answer)
        return make_refusal_response(
            make_refusal(reason::instance_leaving, "the instance has stopped"),
            rank::ordinary);
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    nlohmann::json body;
    body["lifetime_ms"] = duration_cast<milliseconds>(answer->lifetime).count();
    body["instances"] = nlohmann::json::array();
    for (const auto& it : answer->instances)
        body["instances"].push_back(
            {{"address", it.listen_endpoint.address},
             {"http_port", it.listen_endpoint.http_port},
             {"data_centre", it.data_centre}});
    return {200, body.dump()};
}

http_response http_service::serve_status(const http_request&)
{
    auto body = nlohmann::json::object();
    engine_->run_and_wait(
        [&]
        {
            const auto status = versions_->status();
            body["state"] = to_string(shutdown_->phase());
            const auto refusal_cause =
                status.refusal_cause == reason::none && !members_->is_ready()
                    ? reason::instance_starting
                    : status.refusal_cause;
            body["serving"] = refusal_cause == reason::none;
            body["why_not"] = to_string(refusal_cause);
            body["version"] = status.version;
            body["version_age_ms"] = status.age.count();
            body["version_source"] = status.source;
            body["version_confirmed"] = status.is_confirmed;
            body["in_flight"] =
                search_->in_flight_count() + bookings_->in_flight_count();
            auto members = nlohmann::json::array();
            for (const auto& it : members_->table().members())
                members.push_back(
                    {{"ordinal", it.index},
                     {"nonce", std::to_string(it.nonce)},
                     {"state", to_string(it.state)}});
            body["members"] = std::move(members);
        });
    body["instance"] =
        settings_.address + ":" + std::to_string(settings_.http_port);
    body["ordinal"] = settings_.index;
    body["data_centre"] = settings_.data_centre;
    body["nonce"] = std::to_string(nonce_);
    return {200, body.dump()};
}

http_response http_service::serve_metrics(const http_request&)
{
    return {200, registry_.text(), "text/plain; version=0.0.4"};
}

} // namespace turmericlane
