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

/** Largest body of a request; the largest field is a booking's payload. */
constexpr std::size_t body_limit_bytes = std::size_t{64} * 1024;

constexpr int http_too_large = 413;

/** Runs a task on the loop and returns its value, or nothing if the loop has
    stopped. */
template <class Task>
auto ask(engine& on, Task task) -> std::optional<decltype(task())>
{
    std::optional<decltype(task())> value;
    on.call([&] { value.emplace(task()); });
    return value;
}

} // namespace

http_service::http_service(
    const node_settings& settings,
    std::uint64_t nonce,
    metrics_registry& registry,
    instance_counters& counters)
    : settings_(settings)
    , nonce_(nonce)
    , registry_(registry)
    , counters_(counters)
{
    for (auto it : all_ranks)
        latency_[index_of(it)] = &registry.histogram_of(
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
    http_frontend_settings made;
    made.host = settings_.address;
    made.port = settings_.http_port;
    made.threads = settings_.http_threads;
    made.body_limit_bytes = body_limit_bytes;
    front_ = std::make_unique<http_frontend>(made);
    add_handlers();
    const auto port = front_->start();
    if (!port)
        return port.error();
    log_event(
        event::http_listening,
        {{"address", settings_.address}, {"port", std::to_string(*port)}});
    return std::nullopt;
}

void http_service::stop()
{
    front_->stop();
}

template <class Handler>
http_frontend::request_handler http_service::guarded(Handler handler)
{
    return [this, handler](const http_request& request)
    {
        request_scope counted(*shutdown_);
        try
        {
            return (this->*handler)(request);
        }
        catch (const std::exception& ec)
        {
            log_event(event::handler_failed, {{"detail", ec.what()}});
            // The request may have been handed to the engine already.
            return refuse_with(
                {verdict::unknown(reason::internal_error), ec.what(), {}},
                rank::ordinary);
        }
    };
}

void http_service::add_handlers()
{
    front_->add_post_handler(
        "/v1/search", guarded(&http_service::serve_search));
    front_->add_post_handler(
        "/v1/tickets", guarded(&http_service::serve_ticket));
    front_->add_post_handler(
        "/v1/bookings", guarded(&http_service::serve_booking));
    front_->add_get_handler(
        "/v1/instances", guarded(&http_service::serve_instances));
    front_->add_get_handler("/v1/status", guarded(&http_service::serve_status));
    front_->add_get_handler("/metrics", guarded(&http_service::serve_metrics));
    front_->set_refusal_handler(
        [this](int status)
        {
            const auto large = status == http_too_large;
            const auto why = large ? reason::body_too_large : reason::bad_field;
            auto response = refuse_with(
                refuse(
                    why, large ? "the body is larger than " +
                                     std::to_string(body_limit_bytes) + " bytes"
                               : "there is no such path"),
                rank::ordinary);
            response.status = status;
            return response;
        });
}

http_response http_service::refuse_with(const api_error& error, rank work)
{
    counters_.count_refusal(error.state.cause, work);
    return {http_status_of(error.state), to_json(error)};
}

std::optional<api_error>
http_service::refusal_by_state(const http_request& request)
{
    const auto why = reason_not_to_serve();
    if (why == reason::none)
        return std::nullopt;
    const auto* detail = why == reason::instance_leaving
                             ? "the instance is shutting down"
                             : "the instance isn't ready to serve";
    return refuse(why, detail, request_id_of(request.body));
}

reason http_service::reason_not_to_serve()
{
    if (shutdown_->draining())
        return reason::instance_leaving;
    const auto why =
        ask(*engine_,
            [this]
            {
                const auto by_version = versions_->status().why_not;
                if (by_version != reason::none)
                    return by_version;
                return members_->settled() ? reason::none
                                           : reason::instance_starting;
            });
    return why.value_or(reason::instance_leaving);
}

http_response http_service::serve_search(const http_request& request)
{
    const auto arrived = engine_->time().now();
    if (auto refusal = refusal_by_state(request))
        return refuse_with(*refusal, rank::ordinary);
    const auto in_force = versions_->in_force();
    const auto parsed = parse_search(request.body, *in_force, arrived);
    if (!parsed)
        return refuse_with(parsed.error(), rank::ordinary);
    std::promise<search_answer> answered;
    auto answer = answered.get_future();
    const auto started = search_->search(
        *parsed,
        [&answered](const search_answer& value) { answered.set_value(value); });
    if (!started)
        return refuse_with(
            refuse(
                reason::instance_leaving, "the instance has stopped",
                parsed->caller_request_id),
            parsed->request_rank);
    const auto value = answer.get();
    latency_[index_of(parsed->request_rank)]->record(
        engine_->time().now() - arrived);
    return {http_status_of(value.state), to_json(value, *in_force)};
}

http_response http_service::serve_ticket(const http_request& request)
{
    if (auto refusal = refusal_by_state(request))
        return refuse_with(*refusal, rank::urgent);
    const auto issued = ask(*engine_, [this] { return bookings_->issue(); });
    if (!issued)
        return refuse_with(
            refuse(reason::instance_leaving, "the instance has stopped"),
            rank::urgent);
    const auto& made = *issued;
    if (!made)
        return refuse_with(
            refuse(made.error(), "no ticket can be issued"), rank::urgent);
    nlohmann::json body;
    body["ticket"] = to_text(*made);
    body["expires_in_ms"] = bookings_->ticket_lifetime().count();
    return {200, body.dump()};
}

http_response http_service::serve_booking(const http_request& request)
{
    const auto arrived = engine_->time().now();
    const auto in_force = versions_->in_force();
    if (in_force == nullptr)
        return refuse_with(
            refuse(reason::no_bundle, "no bundle is in force"), rank::urgent);
    const auto parsed = parse_booking(request.body, *in_force);
    if (!parsed)
        return refuse_with(parsed.error(), rank::urgent);
    const auto permit = parse_ticket(parsed->ticket);
    if (!permit)
        return refuse_with(
            refuse(reason::ticket_invalid, "the ticket is malformed"),
            parsed->work);
    booking_request made;
    made.booking_ticket = *permit;
    made.service =
        in_force->find_service(std::string_view(parsed->service))->id;
    made.key = parsed->key;
    made.payload = parsed->payload;
    made.request_rank = parsed->work;
    made.deadline = arrived + parsed->time_left;
    std::promise<booking_answer> answered;
    auto answer = answered.get_future();
    const auto started = bookings_->book(
        made, [&answered](const booking_answer& value)
        { answered.set_value(value); });
    // A stopped engine can't know whether an earlier request ran.
    if (!started)
        return refuse_with(
            {verdict::unknown(reason::instance_leaving),
             "the instance has stopped", parsed->ticket},
            parsed->work);
    const auto value = answer.get();
    return {
        http_status_of(value.final_verdict),
        booking_json(value.final_verdict, value.body, parsed->ticket)};
}

http_response http_service::serve_instances(const http_request&)
{
    const auto answer = ask(*engine_, [this] { return members_->answer(); });
    if (!answer)
        return refuse_with(
            refuse(reason::instance_leaving, "the instance has stopped"),
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
    engine_->call(
        [&]
        {
            const auto status = versions_->status();
            body["state"] = to_string(shutdown_->phase());
            const auto why_not =
                status.why_not == reason::none && !members_->settled()
                    ? reason::instance_starting
                    : status.why_not;
            body["serving"] = why_not == reason::none;
            body["why_not"] = to_string(why_not);
            body["version"] = status.version;
            body["version_age_ms"] = status.age.count();
            body["version_source"] = status.source;
            body["version_confirmed"] = status.confirmed;
            body["in_flight"] = search_->in_flight() + bookings_->in_flight();
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
