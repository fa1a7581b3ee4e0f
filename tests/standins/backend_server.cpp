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

/** Deadline of requests that state none. */
constexpr std::chrono::seconds longest_deadline{30};

std::chrono::steady_clock::duration time_left(const http_session& session)
{
    auto text = session.header("X-Deadline-Ms");
    if (text.empty())
        return longest_deadline;
    std::chrono::duration<double, std::milli> left(std::atof(text.c_str()));
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        left);
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
    if (auto why = behaviour_.apply(changes))
        return why;
    if (behaviour_.draining)
        mark_leaving();
    if (behaviour_.refuse && !was_refusing)
        stop();
    if (!behaviour_.refuse && was_refusing)
    {
        cold_until_ = clock::now() + behaviour_.cold_start;
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
    newest_ = std::max(newest_, snapshot);
}

void backend_server::drop_snapshots_below(std::uint64_t snapshot)
{
    oldest_ = std::clamp(snapshot, oldest_, newest_);
}

void backend_server::mark_leaving()
{
    if (!marked_at_)
        marked_at_ = clock::now();
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
    auto made = counters_.to_json();
    made["id"] = identity_.id;
    made["server"] = identity_.address + ':' + std::to_string(identity_.port);
    made["service"] = identity_.service;
    made["partition"] = identity_.partition;
    made["connections"] = server_.counts().open;
    made["peak_connections"] = server_.counts().peak;
    made["connection_limit"] = identity_.connection_limit;
    made["over_limit"] = server_.counts().over_limit;
    made["load"] = load_now();
    return made;
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
    if (!marked_at_)
        return;
    auto since = std::chrono::duration_cast<std::chrono::milliseconds>(
        clock::now() - *marked_at_);
    ++counters_.after_mark;
    counters_.last_after_mark_ms = since.count();
    if (since > std::chrono::seconds(3))
        ++counters_.after_mark_3s;
}

bool backend_server::refuse_new_work(http_session& session)
{
    if (behaviour_.draining)
    {
        reply_error(session, 503, "draining");
        return true;
    }
    if (queue_.size() < behaviour_.max_queue &&
        !records_.draw(behaviour_.shed_share))
        return false;
    ++counters_.shed;
    reply_error(session, 503, "shed");
    return true;
}

backend_server::work_pointer
backend_server::make_work(const std::shared_ptr<http_session>& session)
{
    auto made = std::make_shared<work>(context_);
    made->session = session;
    made->request_id = session->header("X-Request-Id");
    made->deadline = clock::now() + time_left(*session);
    return made;
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
    auto stated = parse_rank(session->header("X-Rank"));
    ++counters_.received_by_rank[index_of(stated.value_or(rank::ordinary))];
    count_after_mark();
    if (refuse_new_work(*session))
        return;
    auto made = make_work(session);
    made->snapshot = number_header(*session, "X-Snapshot");
    if (made->snapshot == 0)
        made->snapshot = newest_;
    if (made->snapshot < oldest_ || made->snapshot > newest_)
    {
        ++counters_.snapshot_gone;
        return reply_error(*session, 409, "snapshot_gone");
    }
    made->query = std::move(query);
    if (body.contains("limit") && body["limit"].is_number_unsigned())
        made->limit = body["limit"].get<std::uint32_t>();
    enqueue(made);
}

void backend_server::handle_booking(
    const std::shared_ptr<http_session>& session)
{
    ++counters_.bookings_received;
    count_after_mark();
    if (!identity_.bookable)
        return reply_error(*session, 400, "not_bookable");
    if (refuse_new_work(*session))
        return;
    auto made = make_work(session);
    made->booking = true;
    enqueue(made);
}

void backend_server::handle_cancel(const std::shared_ptr<http_session>& session)
{
    ++counters_.cancels;
    auto id = session->header("X-Request-Id");
    auto body = json::parse(session->body(), nullptr, false);
    if (id.empty() && body.is_object())
        id = body.value("request_id", body.value("id", std::string()));
    std::vector<work_pointer> found;
    for (const auto& it : running_)
        if (it->request_id == id && !it->booking)
            found.push_back(it);
    for (const auto& it : queue_)
        if (it->request_id == id)
            found.push_back(it);
    std::uint64_t count = 0;
    for (const auto& it : found)
        count += give_up(it, 499, "cancelled") ? 1 : 0;
    counters_.cancelled += count;
    session->reply(200, json{{"cancelled", count}}.dump());
}

void backend_server::enqueue(const work_pointer& added)
{
    queue_.push_back(added);
    counters_.peak_queue = std::max(counters_.peak_queue, queue_.size());
    start_next();
    if (added->running || added->session->closed())
        return;
    added->timer.expires_at(added->deadline);
    added->timer.async_wait(
        [this, added](error_code ec)
        {
            if (ec || added->running)
                return;
            if (give_up(added, 504, "deadline"))
                ++counters_.deadline_passed;
        });
}

void backend_server::start_next()
{
    while (running_.size() < identity_.slots && !queue_.empty())
    {
        auto next = queue_.front();
        queue_.pop_front();
        if (next->session->closed() && !next->booking)
        {
            ++counters_.abandoned;
            next->timer.cancel();
            continue;
        }
        if (clock::now() >= next->deadline)
        {
            ++counters_.deadline_passed;
            next->timer.cancel();
            reply_error(*next->session, 504, "deadline");
            continue;
        }
        run(next);
    }
}

void backend_server::run(const work_pointer& started)
{
    started->running = true;
    running_.push_back(started);
    if (started->booking)
    {
        ++counters_.bookings_executed;
        records_.add_booking(
            {started->request_id,
             identity_.address + ':' + std::to_string(identity_.port),
             std::chrono::system_clock::now(), started->session->body()});
    }
    else
    {
        ++counters_.executed;
        records_.add_query(started->query);
    }
    if (zero_work_)
        return asio::post(context_, [this, started] { finish(started); });
    auto span = std::chrono::duration_cast<clock::duration>(
        records_.draw_service_time() * speed_factor());
    auto end = clock::now() + span;
    // A booking that has begun runs to its end.
    if (!started->booking)
        end = std::min(end, started->deadline);
    started->timer.expires_at(end);
    started->timer.async_wait(
        [this, started](error_code ec)
        {
            if (!ec)
                finish(started);
        });
}

void backend_server::finish(const work_pointer& ended)
{
    if (std::erase(running_, ended) == 0)
        return;
    if (!ended->booking && clock::now() >= ended->deadline)
    {
        ++counters_.deadline_passed;
        reply_error(*ended->session, 504, "deadline");
    }
    else if (records_.draw(behaviour_.lose_replies))
        ++counters_.replies_lost;
    else if (records_.draw(behaviour_.break_replies))
    {
        ++counters_.replies_lost;
        ended->session->drop();
    }
    else
        answer(*ended);
    start_next();
}

bool backend_server::give_up(
    const work_pointer& ended, unsigned status, const char* why)
{
    // A timer that expired before it was cancelled still calls its handler,
    // so the work may have ended already.
    if (std::erase(running_, ended) + std::erase(queue_, ended) == 0)
        return false;
    ended->timer.cancel();
    reply_error(*ended->session, status, why);
    start_next();
    return true;
}

void backend_server::answer(const work& done)
{
    if (done.booking)
    {
        auto since = std::chrono::system_clock::now().time_since_epoch();
        auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(since);
        json made = {
            {"result", "booked"},
            {"request_id", done.request_id},
            {"executed_at_ms", ms.count()}};
        return done.session->reply(200, made.dump());
    }
    auto hits = json::array();
    for (const auto& it : make_hits(
             done.query, done.snapshot, identity_.service, identity_.partition,
             done.limit))
        hits.push_back({{"id", it.id}, {"score", it.score}});
    json made = {
        {"snapshot", done.snapshot},
        {"epoch", identity_.epoch},
        {"oldest", oldest_},
        {"newest", newest_},
        {"hits", std::move(hits)}};
    done.session->reply(200, made.dump());
}

double backend_server::speed_factor()
{
    auto factor = behaviour_.slow_factor;
    auto now = clock::now();
    if (now >= cold_until_)
        return factor;
    std::chrono::duration<double> left = cold_until_ - now;
    std::chrono::duration<double> whole = behaviour_.cold_start;
    auto cold = 1 + (behaviour_.cold_factor - 1) * (left / whole);
    return factor * cold;
}

json backend_server::load_now() const
{
    auto load = static_cast<double>(running_.size()) / identity_.slots;
    return {
        {"in_flight", running_.size()},
        {"queue", queue_.size()},
        {"slots", identity_.slots},
        {"load", load},
        {"oldest", oldest_},
        {"newest", newest_},
        {"draining", behaviour_.draining}};
}

json backend_server::load_report()
{
    auto now = clock::now();
    if (last_load_.is_null() || now - last_load_at_ >= behaviour_.load_lag)
    {
        last_load_ = load_now();
        last_load_at_ = now;
    }
    auto made = last_load_;
    made["age_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                         now - last_load_at_)
                         .count();
    if (behaviour_.load_lie)
    {
        made["load"] = *behaviour_.load_lie;
        made["in_flight"] = 0;
        made["queue"] = 0;
        made["age_ms"] = 0;
    }
    return made;
}

void backend_server::reply_error(
    http_session& session, unsigned status, const char* why)
{
    json made = {
        {"reason", why},
        {"epoch", identity_.epoch},
        {"oldest", oldest_},
        {"newest", newest_}};
    session.reply(status, made.dump());
}

} // namespace turmericlane::standins
