#include "searcher_pool.h"

#include <algorithm>
#include <charconv>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** A connection that takes longer to open has failed: the searcher or the
    network path to it is down. */
constexpr auto connect_timeout = 250ms;
/** Idle connections are closed this long before the searcher would close
    them. */
constexpr auto idle_timeout_margin = 700ms;
/** Time between the opening of a connection and its first request. A searcher
    that has too many connections closes a new one at once; a request that was
    not sent by then is certain not to have run. */
constexpr auto first_request_delay = 2ms;
/** Time after the start in which first requests are delayed: searchers may
    still count the connections of this instance's previous process. */
constexpr auto first_request_delay_period = 12s;
/** Idle connections beyond the number that an instance keeps to a searcher are
    closed after this time. */
constexpr duration spare_timeout = 500ms;
/** A request that the searcher's host has not acknowledged after this time was
    lost, or the host is down. This is the shortest retransmission timeout of
    TCP. */
constexpr auto acknowledgement_timeout = 200ms;
/** Larger requests are not copied for each attempt. Most requests are far
    smaller, and go out as one buffer. */
constexpr std::size_t max_copied_request_bytes = 4U << 10U;
/** Larger requests get the longer timeout below, because the receiver may be
    slow to read them. */
constexpr std::size_t small_request_bytes = 8U << 10U;
constexpr auto large_acknowledgement_timeout = 2500ms;
/** Timeout of an idle connection if the searcher states none. */
constexpr auto default_idle_timeout = 8s;

/** Parses the time in a field such as "timeout=5"; zero if there is none. */
std::chrono::seconds parse_keep_alive_timeout(std::string_view text)
{
    constexpr std::string_view key = "timeout=";
    const auto position = text.find(key);
    if (position == std::string_view::npos)
        return 0s;
    const auto digits = text.substr(position + key.size());
    int seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::chrono::seconds(std::clamp(seconds, 0, 3600));
}

} // namespace

outgoing_request::outgoing_request(std::string head_text, std::string tail_text)
    : head(std::make_shared<const std::string>(std::move(head_text)))
    , tail(std::make_shared<const std::string>(std::move(tail_text)))
{
}

/** A connection to a searcher and the attempt that it carries.

    The listener of the pool may call the pool from each of its methods, which
    may use, close or remove this connection. */
class searcher_pool::searcher_connection final
    : public client_listener,
      public std::enable_shared_from_this<searcher_connection>
{
public:
    searcher_connection(searcher_pool& pool, std::shared_ptr<searcher> target)
        : pool_(pool)
        , number_(++pool.last_connection_)
        , target_(std::move(target))
        , connection_(std::make_shared<client_connection>(
              pool.loop_, *this, &pool.memory_))
        , last_change_(pool.clock_.now())
    {
    }

    void open()
    {
        connection_->open(target_->entry().address, target_->entry().port);
    }

    void send(
        attempt_handle attempt,
        const outgoing_request& request,
        duration time_left)
    {
        attempt_ = attempt;
        pool_.connections_by_attempt_[attempt] = this;
        request_id_ = request.id;
        is_part_ = request.is_part;
        expects_body_ = request.expects_body;
        deadline_ = pool_.clock_.now() + time_left;
        if (connection_->has_opened())
            write_request(request);
        else
            unsent_request_ = request;
    }

    bool is_usable(time_point now) const
    {
        return is_idle() && !has_expired(now);
    }

    bool is_idle() const
    {
        return attempt_ == 0 && connection_->is_idle();
    }

    bool is_opening() const
    {
        return !connection_->has_opened();
    }

    /** Closes the connection. Nothing is reported about it any more. */
    void close()
    {
        has_ended_ = true;
        delay_timer_.reset();
        connection_->close();
    }

    connection_number number() const
    {
        return number_;
    }

    const std::shared_ptr<searcher>& target() const
    {
        return target_;
    }

    attempt_handle attempt() const
    {
        return attempt_;
    }

    time_point last_change() const
    {
        return last_change_;
    }

    /** True if the connection is idle and must not be used again. */
    bool has_expired(time_point now) const
    {
        return is_idle() &&
               (now - last_change_ >= idle_timeout_ || target_->is_leaving());
    }

    /** True if the connection has been idle for the time after which
        connections beyond the kept number are closed. */
    bool is_spare(time_point now) const
    {
        return is_idle() && now - last_change_ >= spare_timeout;
    }

    bool has_connect_timed_out(time_point now) const
    {
        return is_opening() && now - last_change_ >= connect_timeout;
    }

    void fail(attempt_outcome failure)
    {
        if (has_ended_)
            return;
        const auto self = shared_from_this();
        close();
        pool_.remove(*this);
        if (attempt_ == 0)
        {
            if (failure == attempt_outcome::not_sent)
                target_->on_failure(pool_.clock_.now());
            if (failure == attempt_outcome::turned_away)
                target_->on_turned_away(pool_.clock_.now());
            return;
        }
        attempt_result result;
        result.outcome = failure;
        end_attempt(std::move(result));
    }

private:
    void write_request(const outgoing_request& request)
    {
        const auto time_left = deadline_ - pool_.clock_.now();
        std::string fields;
        append_field(
            fields, pool_.names_.time_left,
            std::to_string(
                std::max<std::int64_t>(1, to_milliseconds(time_left))));
        append_field(
            fields, pool_.names_.expected_searcher, target_->entry().id);
        const auto size =
            request.head->size() + fields.size() + request.tail->size();
        has_sent_request_ = true;
        connection_->set_acknowledgement_timeout(
            size <= small_request_bytes
                ? duration(acknowledgement_timeout)
                : duration(large_acknowledgement_timeout));
        if (size > max_copied_request_bytes)
            connection_->send(
                request_parts{request.head, request.tail, std::move(fields)},
                expects_body_);
        else
            connection_->send(
                *request.head + fields + *request.tail, expects_body_);
    }

    /** True if an answer is taken as that to the open request. An answer
        without an id may be a copy of an earlier one, unless none came before
        and the searcher never echoes ids. */
    bool is_accepted(answer_owner owner)
    {
        if (owner == answer_owner::request)
            target_->on_id_echoed();
        return owner == answer_owner::request ||
               (owner == answer_owner::unknown && !target_->has_echoed_id());
    }

    void
    note_statement(unsigned status, const boost::beast::http::fields& fields)
    {
        const auto statement = read_statement(status, fields, pool_.names_);
        if (statement.is_leaving || !statement.odd_field.empty() ||
            statement.quiet_time > duration::zero() ||
            statement.warm_up_time > duration::zero())
            pool_.listener_.statement_received(target_, statement);
    }

    void schedule_request()
    {
        delay_timer_.emplace(pool_.loop_.get_executor());
        delay_timer_->expires_after(first_request_delay);
        delay_timer_->async_wait(
            [self = shared_from_this()](boost::system::error_code ec)
            {
                if (!ec && self->connection_->is_idle())
                    self->write_unsent_request();
            });
    }

    void write_unsent_request()
    {
        const auto request = std::exchange(unsent_request_, std::nullopt);
        if (request)
            write_request(*request);
    }

    void end_attempt(attempt_result&& result)
    {
        const auto attempt = attempt_;
        attempt_ = 0;
        last_change_ = pool_.clock_.now();
        pool_.connections_by_attempt_.erase(attempt);
        pool_.listener_.attempt_ended(attempt, std::move(result));
    }

    void on_open(client_connection&) override
    {
        last_change_ = pool_.clock_.now();
        ++pool_.opened_count_;
        if (unsent_request_ && pool_.must_delay_first_request())
            schedule_request();
        else
            write_unsent_request();
        // Comes last: the listener may send a request on this connection.
        const auto self = shared_from_this();
        if (target_->is_ejected())
            pool_.listener_.searcher_reachable(target_);
    }

    void on_response(
        client_connection& connection, server_response&& response) override
    {
        const auto self = shared_from_this();
        note_statement(response.status, response.fields);
        if (has_ended_)
            return;
        const auto owner = find_owner(response, pool_.names_, request_id_);
        if (!is_accepted(owner))
        {
            pool_.listener_.unmatched_answer_dropped(
                target_, owner == answer_owner::another_request);
            if (has_ended_)
                return;
            if (response.keep_alive)
                connection.expect_another_response();
            else
                fail(attempt_outcome::broken);
            return;
        }
        const auto stated_timeout =
            parse_keep_alive_timeout(field(response.fields, "keep-alive"));
        idle_timeout_ =
            stated_timeout > 0s
                ? std::max<duration>(
                      stated_timeout - idle_timeout_margin, idle_timeout_margin)
                : duration(default_idle_timeout);
        // On a connection that is used again, an answer without an id could
        // not be told from a late copy of this one.
        const auto can_reuse = response.keep_alive && !target_->is_leaving() &&
                               owner == answer_owner::request;
        auto result = read_answer(std::move(response), pool_.names_, is_part_);
        if (!can_reuse || result.outcome == attempt_outcome::misdirected ||
            result.outcome == attempt_outcome::broken)
        {
            close();
            pool_.remove(*this);
        }
        end_attempt(std::move(result));
    }

    void on_incomplete_response(
        client_connection&,
        unsigned status,
        const boost::beast::http::fields& fields) override
    {
        const auto self = shared_from_this();
        note_statement(status, fields);
    }

    void on_end(client_connection&, connection_end reason) override
    {
        const auto self = shared_from_this();
        if (reason == connection_end::too_large)
            pool_.listener_.answer_too_large(target_);
        if (reason == connection_end::not_opened)
            fail(attempt_outcome::not_sent);
        else if (!has_sent_request_)
            fail(attempt_outcome::turned_away);
        else if (reason == connection_end::unacknowledged)
            fail(attempt_outcome::unacknowledged);
        else
            fail(attempt_outcome::broken);
    }

    searcher_pool& pool_;
    connection_number number_;
    std::shared_ptr<searcher> target_;
    std::shared_ptr<client_connection> connection_;
    attempt_handle attempt_ = 0;
    /** Request that is sent once the connection has opened. */
    std::optional<outgoing_request> unsent_request_;
    std::string request_id_;
    bool is_part_ = false;
    bool expects_body_ = true;
    /** True once a request was sent on this connection. */
    bool has_sent_request_ = false;
    bool has_ended_ = false;
    std::optional<loop_timer> delay_timer_;
    time_point deadline_{};
    /** When the connection was created, opened or last became idle. */
    time_point last_change_;
    duration idle_timeout_ = default_idle_timeout;
};

searcher_pool::searcher_pool(
    event_context& loop,
    const clock& time,
    const protocol_names& names,
    response_memory& memory,
    pool_listener& listener)
    : loop_(loop)
    , clock_(time)
    , names_(names)
    , memory_(memory)
    , listener_(listener)
    , start_time_(time.now())
{
}

searcher_pool::~searcher_pool()
{
    for (const auto& [key, it] : connections_)
        it->close();
}

void searcher_pool::send(
    attempt_handle attempt,
    outgoing_request& request,
    const std::shared_ptr<searcher>& target,
    duration time_left)
{
    auto connection = find_free_connection(*target, request);
    if (!connection)
        connection = open_connection(target);
    request.used_connections.push_back(connection->number());
    connection->send(attempt, request, time_left);
}

void searcher_pool::abandon(attempt_handle attempt)
{
    const auto position = connections_by_attempt_.find(attempt);
    if (position == connections_by_attempt_.end())
        return;
    auto* const connection = position->second;
    connections_by_attempt_.erase(position);
    connection->close();
    remove(*connection);
}

void searcher_pool::ensure_connection(const std::shared_ptr<searcher>& target)
{
    if (!target->is_leaving() && connections_by_searcher_[target.get()].empty())
        open_connection(target);
}

void searcher_pool::probe(const std::shared_ptr<searcher>& target)
{
    close_idle(target);
    const auto& connections = connections_by_searcher_[target.get()];
    const auto has_pending_open = std::any_of(
        connections.begin(), connections.end(),
        [](const auto& it) { return it->is_opening(); });
    if (!has_pending_open && !target->is_leaving() &&
        connections.size() < target->max_in_flight())
        open_connection(target);
}

void searcher_pool::close_idle(const std::shared_ptr<searcher>& target)
{
    const auto position = connections_by_searcher_.find(target.get());
    if (position == connections_by_searcher_.end())
        return;
    const auto connections = position->second;
    for (const auto& it : connections)
    {
        if (!it->is_idle())
            continue;
        it->close();
        remove(*it);
    }
}

void searcher_pool::sweep()
{
    const auto now = clock_.now();
    std::vector<std::shared_ptr<searcher_connection>> timed_out_connections;
    std::vector<std::shared_ptr<searcher_connection>> expired_connections;
    for (const auto& [key, it] : connections_)
    {
        if (it->has_connect_timed_out(now))
            timed_out_connections.push_back(it);
        else if (it->has_expired(now))
            expired_connections.push_back(it);
    }
    for (const auto& [target, connections] : connections_by_searcher_)
    {
        std::size_t idle_count = 0;
        for (const auto& it : connections)
        {
            if (it->is_idle() &&
                ++idle_count > target->max_idle_connections() &&
                it->is_spare(now) && !it->has_expired(now))
                expired_connections.push_back(it);
        }
    }
    for (const auto& it : expired_connections)
    {
        it->close();
        remove(*it);
        if (it->target()->is_preferred())
            ensure_connection(it->target());
    }
    for (const auto& it : timed_out_connections)
        it->fail(attempt_outcome::not_sent);
}

bool searcher_pool::must_delay_first_request() const
{
    return clock_.now() - start_time_ < first_request_delay_period;
}

std::shared_ptr<searcher_pool::searcher_connection>
searcher_pool::find_free_connection(
    const searcher& target, const outgoing_request& request) const
{
    const auto position = connections_by_searcher_.find(&target);
    if (position == connections_by_searcher_.end())
        return nullptr;
    // All attempts of a request have the same id: a copy of the answer to an
    // earlier one could not be told from the answer to this one.
    const auto has_carried_request = [&](const searcher_connection& connection)
    {
        return std::find(
                   request.used_connections.begin(),
                   request.used_connections.end(),
                   connection.number()) != request.used_connections.end();
    };
    const auto now = clock_.now();
    std::shared_ptr<searcher_connection> last_used;
    for (const auto& it : position->second)
    {
        if (it->is_usable(now) &&
            (!last_used || it->last_change() > last_used->last_change()) &&
            !has_carried_request(*it))
            last_used = it;
    }
    if (last_used)
        return last_used;
    // A connection that is being opened ahead of need is ready sooner than a
    // new one.
    for (const auto& it : position->second)
    {
        if (it->attempt() == 0 && it->is_opening())
            return it;
    }
    return nullptr;
}

std::shared_ptr<searcher_pool::searcher_connection>
searcher_pool::open_connection(const std::shared_ptr<searcher>& target)
{
    auto connection = std::make_shared<searcher_connection>(*this, target);
    connections_by_searcher_[target.get()].push_back(connection);
    connections_.emplace(connection.get(), connection);
    connection->open();
    return connection;
}

void searcher_pool::remove(const searcher_connection& connection)
{
    const auto position = connections_.find(&connection);
    if (position == connections_.end())
        return;
    const auto removed_connection = position->second;
    connections_.erase(position);
    auto& connections =
        connections_by_searcher_[removed_connection->target().get()];
    std::erase(connections, removed_connection);
    if (connections.empty())
        connections_by_searcher_.erase(removed_connection->target().get());
}

} // namespace turmericlane
