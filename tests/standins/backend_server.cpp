#include "backend_server.h"

#include "hits.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <cassert>
#include <cstdlib>

namespace turmericlane::standins
{

namespace asio = boost::asio;
using json = nlohmann::json;
using error_code = boost::system::error_code;

namespace
{

/** Time until the deadline of a request that states none. */
constexpr std::chrono::seconds default_timeout{30};

std::chrono::steady_clock::duration time_left(const http_session& session)
{
    auto text = session.header("X-Deadline-Ms");
    if (text.empty())
        return default_timeout;
    std::chrono::duration<double, std::milli> milliseconds_left(
        std::atof(text.c_str()));
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        milliseconds_left);
}

std::uint64_t number_header(const http_session& session, const char* name)
{
    return std::strtoull(session.header(name).c_str(), nullptr, 10);
}

} // namespace

backend_server::backend_server(
    asio::io_context& context,
    backend_identity identity,
    backend_records& records,
    bool zero_work)
    : context_(context)
    , identity_(std::move(identity))
    , records_(records)
    , zero_work_(zero_work)
    , server_(
          context,
          {asio::ip::make_address(identity_.address), identity_.port},
          {identity_.connection_limit, identity_.connect_cost},
          [this](const auto& session) { handle(session); })
{
    assert(identity_.slots > 0);
}

void backend_server::open()
{
    server_.open();
}

std::optional<std::string> backend_server::change(const json& changes)
{
    auto was_refusing = behaviour_.refuse;
    if (auto member = behaviour_.apply(changes))
        return member;
    if (behaviour_.draining)
        mark_leaving();
    if (behaviour_.refuse && !was_refusing)
        stop();
    if (!behaviour_.refuse && was_refusing)
    {
        cold_start_end_ = clock::now() + behaviour_.cold_start;
        server_.open();
    }
    return std::nullopt;
}

void backend_server::stop()
{
    server_.close();
    for (const auto& it : queue_)
        it->timer.cancel();
    for (const auto& it : running_)
        it->timer.cancel();
    queue_.clear();
    running_.clear();
}

void backend_server::add_snapshot(std::uint64_t snapshot)
{
    newest_snapshot_ = std::max(newest_snapshot_, snapshot);
}

void backend_server::drop_snapshots_below(std::uint64_t snapshot)
{
    oldest_snapshot_ = std::clamp(snapshot, oldest_snapshot_, newest_snapshot_);
}

void backend_server::mark_leaving()
{
    if (!mark_time_)
        mark_time_ = clock::now();
}

const backend_identity& backend_server::identity() const noexcept
{
    return identity_;
}

const backend_counters& backend_server::counters() const noexcept
{
    return counters_;
}

json backend_server::report() const
{
    auto fields = counters_.to_json();
    fields["id"] = identity_.id;
    fields["server"] = identity_.address + ':' + std::to_string(identity_.port);
    fields["service"] = identity_.service;
    fields["partition"] = identity_.partition;
    fields["connections"] = server_.counts().open;
    fields["peak_connections"] = server_.counts().peak;
    fields["connection_limit"] = identity_.connection_limit;
    fields["over_limit"] = server_.counts().over_limit;
    fields["load"] = current_load();
    return fields;
}

void backend_server::handle(const std::shared_ptr<http_session>& session)
{
    auto path = session->path();
    if (path == "/search" && session->method() == "POST")
        return handle_search(session);
    if (path == "/book" && session->method() == "POST")
        return handle_booking(session);
    if (path == "/cancel" && session->method() == "POST")
        return handle_cancel(session);
    if (path == "/load")
        return session->reply(200, load_report().dump());
    if (path == "/health")
        return session->reply(200, R"({"status":"ok"})");
    reply_error(*session, 404, "unknown_path");
}

void backend_server::count_after_mark()
{
    if (!mark_time_)
        return;
    auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        clock::now() - *mark_time_);
    ++counters_.after_mark;
    counters_.last_after_mark_ms = elapsed.count();
    if (elapsed > std::chrono::seconds(3))
        ++counters_.after_mark_3s;
}

bool backend_server::reject_if_busy(http_session& session)
{
    if (behaviour_.draining)
    {
        reply_error(session, 503, "draining");
        return true;
    }
    if (queue_.size() < behaviour_.max_queue &&
        !records_.draw_bool(behaviour_.shed_share))
        return false;
    ++counters_.shed;
    reply_error(session, 503, "shed");
    return true;
}

backend_server::request_pointer
backend_server::make_request(const std::shared_ptr<http_session>& session)
{
    auto request = std::make_shared<pending_request>(context_);
    request->session = session;
    request->request_id = session->header("X-Request-Id");
    request->deadline = clock::now() + time_left(*session);
    return request;
}

void backend_server::handle_search(const std::shared_ptr<http_session>& session)
{
    auto body = json::parse(session->body(), nullptr, false);
    if (!body.is_object() || !body.contains("query") ||
        !body["query"].is_string())
        return reply_error(*session, 400, "bad_json");
    auto query = body["query"].get<std::string>();
    ++counters_.received;
    if (records_.add_received(query, identity_.service, identity_.partition))
        ++counters_.needed;
    auto stated_rank = parse_rank(session->header("X-Rank"));
    ++counters_
          .received_by_rank[index_of(stated_rank.value_or(rank::ordinary))];
    count_after_mark();
    if (reject_if_busy(*session))
        return;
    auto request = make_request(session);
    request->snapshot = number_header(*session, "X-Snapshot");
    if (request->snapshot == 0)
        request->snapshot = newest_snapshot_;
    if (request->snapshot < oldest_snapshot_ ||
        request->snapshot > newest_snapshot_)
    {
        ++counters_.snapshot_gone;
        return reply_error(*session, 409, "snapshot_gone");
    }
    request->query = std::move(query);
    if (body.contains("limit") && body["limit"].is_number_unsigned())
        request->limit = body["limit"].get<std::uint32_t>();
    enqueue(request);
}

void backend_server::handle_booking(
    const std::shared_ptr<http_session>& session)
{
    ++counters_.bookings_received;
    count_after_mark();
    if (!identity_.bookable)
        return reply_error(*session, 400, "not_bookable");
    if (reject_if_busy(*session))
        return;
    auto request = make_request(session);
    request->is_booking = true;
    enqueue(request);
}

void backend_server::handle_cancel(const std::shared_ptr<http_session>& session)
{
    ++counters_.cancels;
    auto id = session->header("X-Request-Id");
    auto body = json::parse(session->body(), nullptr, false);
    if (id.empty() && body.is_object())
        id = body.value("request_id", body.value("id", std::string()));
    std::vector<request_pointer> requests;
    for (const auto& it : running_)
        if (it->request_id == id && !it->is_booking)
            requests.push_back(it);
    for (const auto& it : queue_)
        if (it->request_id == id)
            requests.push_back(it);
    std::uint64_t count = 0;
    for (const auto& it : requests)
        count += end_with_error(it, 499, "cancelled") ? 1 : 0;
    counters_.cancelled += count;
    session->reply(200, json{{"cancelled", count}}.dump());
}

void backend_server::enqueue(const request_pointer& request)
{
    queue_.push_back(request);
    counters_.peak_queue = std::max(counters_.peak_queue, queue_.size());
    start_queued();
    if (request->is_running || request->session->is_closed())
        return;
    request->timer.expires_at(request->deadline);
    request->timer.async_wait(
        [this, request](error_code ec)
        {
            if (ec || request->is_running)
                return;
            if (end_with_error(request, 504, "deadline"))
                ++counters_.deadline_passed;
        });
}

void backend_server::start_queued()
{
    while (running_.size() < identity_.slots && !queue_.empty())
    {
        auto request = queue_.front();
        queue_.pop_front();
        if (request->session->is_closed() && !request->is_booking)
        {
            ++counters_.abandoned;
            request->timer.cancel();
            continue;
        }
        if (clock::now() >= request->deadline)
        {
            ++counters_.deadline_passed;
            request->timer.cancel();
            reply_error(*request->session, 504, "deadline");
            continue;
        }
        run(request);
    }
}

void backend_server::run(const request_pointer& request)
{
    request->is_running = true;
    running_.push_back(request);
    if (request->is_booking)
    {
        ++counters_.bookings_executed;
        records_.add_booking(
            {request->request_id,
             identity_.address + ':' + std::to_string(identity_.port),
             std::chrono::system_clock::now(), request->session->body()});
    }
    else
    {
        ++counters_.executed;
        records_.add_query(request->query);
    }
    if (zero_work_)
        return asio::post(context_, [this, request] { finish(request); });
    auto service_time = std::chrono::duration_cast<clock::duration>(
        records_.draw_service_time() * service_time_factor());
    auto end_time = clock::now() + service_time;
    // A booking that has started runs to its end, past its deadline too.
    if (!request->is_booking)
        end_time = std::min(end_time, request->deadline);
    request->timer.expires_at(end_time);
    request->timer.async_wait(
        [this, request](error_code ec)
        {
            if (!ec)
                finish(request);
        });
}

void backend_server::finish(const request_pointer& request)
{
    if (std::erase(running_, request) == 0)
        return;
    if (!request->is_booking && clock::now() >= request->deadline)
    {
        ++counters_.deadline_passed;
        reply_error(*request->session, 504, "deadline");
    }
    else if (records_.draw_bool(behaviour_.lose_replies))
        ++counters_.replies_lost;
    else if (records_.draw_bool(behaviour_.break_replies))
    {
        ++counters_.replies_lost;
        request->session->drop();
    }
    else
        send_answer(*request);
    start_queued();
}

bool backend_server::end_with_error(
    const request_pointer& request, unsigned status, const char* reason_name)
{
    // The handler of a timer that expired before it was cancelled still runs,
    // so the request may have ended already.
    if (std::erase(running_, request) + std::erase(queue_, request) == 0)
        return false;
    request->timer.cancel();
    reply_error(*request->session, status, reason_name);
    start_queued();
    return true;
}

void backend_server::send_answer(const pending_request& request)
{
    if (request.is_booking)
    {
        auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
        auto ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch);
        json body = {
            {"result", "booked"},
            {"request_id", request.request_id},
            {"executed_at_ms", ms.count()}};
        return request.session->reply(200, body.dump());
    }
    auto hits = json::array();
    for (const auto& it : make_hits(
             request.query, request.snapshot, identity_.service,
             identity_.partition, request.limit))
        hits.push_back({{"id", it.id}, {"score", it.score}});
    json body = {
        {"snapshot", request.snapshot},
        {"epoch", identity_.epoch},
        {"oldest", oldest_snapshot_},
        {"newest", newest_snapshot_},
        {"hits", std::move(hits)}};
    request.session->reply(200, body.dump());
}

double backend_server::service_time_factor()
{
    auto factor = behaviour_.slow_factor;
    auto now = clock::now();
    if (now >= cold_start_end_)
        return factor;
    std::chrono::duration<double> cold_time_left = cold_start_end_ - now;
    std::chrono::duration<double> cold_time = behaviour_.cold_start;
    auto cold_factor =
        1 + (behaviour_.cold_factor - 1) * (cold_time_left / cold_time);
    return factor * cold_factor;
}

json backend_server::current_load() const
{
    auto load = static_cast<double>(running_.size()) / identity_.slots;
    return {{"in_flight", running_.size()},   {"queue", queue_.size()},
            {"slots", identity_.slots},       {"load", load},
            {"oldest", oldest_snapshot_},     {"newest", newest_snapshot_},
            {"draining", behaviour_.draining}};
}

json backend_server::load_report()
{
    auto now = clock::now();
    if (last_load_.is_null() || now - last_load_time_ >= behaviour_.load_lag)
    {
        last_load_ = current_load();
        last_load_time_ = now;
    }
    auto fields = last_load_;
    fields["age_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                           now - last_load_time_)
                           .count();
    if (behaviour_.load_lie)
    {
        fields["load"] = *behaviour_.load_lie;
        fields["in_flight"] = 0;
        fields["queue"] = 0;
        fields["age_ms"] = 0;
    }
    return fields;
}

void backend_server::reply_error(
    http_session& session, unsigned status, const char* reason_name)
{
    json body = {
        {"reason", reason_name},
        {"epoch", identity_.epoch},
        {"oldest", oldest_snapshot_},
        {"newest", newest_snapshot_}};
    session.reply(status, body.dump());
}

} // namespace turmericlane::standins
