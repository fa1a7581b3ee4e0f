#include "searcher_pool.h"

#include "answer_reader.h"

#include <algorithm>
#include <charconv>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** A connection that takes longer to open than this has failed: the searcher
    or the way to it is down. */
constexpr auto connect_time = 250ms;
/** Idle connections are closed that long before the searcher closes them. */
constexpr auto idle_margin = 700ms;
/** A searcher that has too many connections closes a new one at once. A request
    is sent on a new connection only after this time, so that it is certain not
    to have run if the connection is closed. */
constexpr auto turn_away_time = 2ms;
/** For this time after the start: the connections of a former process may still
    count at the searchers. */
constexpr auto cautious_time = 12s;
/** Connections beyond those that an instance keeps are closed after this
    time. */
constexpr duration spare_time = 500ms;
/** A request that the searcher's host has not acknowledged after this time was
    lost, or the host is gone: the least time after which TCP repeats. */
constexpr auto acknowledgement_time = 200ms;
/** For a request larger than this, whose receiver may be slow to read it. */
constexpr std::size_t small_request_bytes = 8U << 10U;
constexpr auto large_acknowledgement_time = 2500ms;
/** Lifetime of an idle connection if the searcher states none. */
constexpr auto default_idle_time = 8s;

/** The time in "timeout=5", zero if there is none. */
std::chrono::seconds keep_alive_time(std::string_view text)
{
    constexpr std::string_view key = "timeout=";
    const auto at = text.find(key);
    if (at == std::string_view::npos)
        return 0s;
    const auto digits = text.substr(at + key.size());
    int made = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), made);
    return std::chrono::seconds(std::clamp(made, 0, 3600));
}

} // namespace

/** A connection to a searcher and the attempt that it carries. */
class searcher_pool::link final : public client_listener,
                                  public std::enable_shared_from_this<link>
{
public:
    link(searcher_pool& pool, std::shared_ptr<searcher> target)
        : pool_(pool)
        , target_(std::move(target))
        , connection_(std::make_shared<client_connection>(pool.loop_, *this))
        , since_(pool.clock_.now())
    {
    }

    void open()
    {
        connection_->open(target_->entry().address, target_->entry().port);
    }

    void carry(
        attempt_handle attempt,
        const outgoing_request& request,
        duration time_left)
    {
        attempt_ = attempt;
        pool_.by_attempt_[attempt] = this;
        id_ = request.id;
        part_ = request.part;
        body_expected_ = request.body_expected;
        deadline_ = pool_.clock_.now() + time_left;
        if (connection_->opened())
            transmit(request);
        else
            text_ = request;
    }

    bool usable(time_point now) const
    {
        return idle() && !expired(now);
    }

    bool idle() const
    {
        return attempt_ == 0 && connection_->idle();
    }

    bool opening() const
    {
        return !connection_->opened();
    }

    void close()
    {
        delay_.reset();
        connection_->close();
    }

    const std::shared_ptr<searcher>& target() const
    {
        return target_;
    }

    attempt_handle attempt() const
    {
        return attempt_;
    }

    time_point since() const
    {
        return since_;
    }

    /** @returns true if the connection is not to be kept */
    bool expired(time_point now) const
    {
        return idle() && (now - since_ >= idle_time_ || target_->is_leaving());
    }

    /** @returns true if it has not been needed for a short time */
    bool spare(time_point now) const
    {
        return idle() && now - since_ >= spare_time;
    }

    bool opening_too_long(time_point now) const
    {
        return opening() && now - since_ >= connect_time;
    }

    void fail(attempt_outcome how)
    {
        const auto self = shared_from_this();
        close();
        pool_.drop(*this);
        if (attempt_ == 0)
        {
            if (how == attempt_outcome::not_sent)
                target_->on_failure(pool_.clock_.now());
            if (how == attempt_outcome::turned_away)
                target_->on_turned_away(pool_.clock_.now());
            return;
        }
        attempt_result made;
        made.outcome = how;
        end_attempt(std::move(made));
    }

private:
    void transmit(const outgoing_request& request)
    {
        const auto left = deadline_ - pool_.clock_.now();
        std::string text;
        text.reserve(request.head.size() + request.tail.size() + 120);
        text += request.head;
        append_field(
            text, pool_.names_.time_left,
            std::to_string(std::max<std::int64_t>(1, to_milliseconds(left))));
        append_field(text, pool_.names_.expected_searcher, target_->entry().id);
        text += request.tail;
        sent_ = true;
        connection_->set_acknowledgement_time(
            text.size() <= small_request_bytes
                ? duration(acknowledgement_time)
                : duration(large_acknowledgement_time));
        connection_->send(std::move(text), body_expected_);
    }

    void transmit_later()
    {
        delay_.emplace(pool_.loop_.get_executor());
        delay_->expires_after(turn_away_time);
        delay_->async_wait(
            [self = shared_from_this()](boost::system::error_code ec)
            {
                if (!ec && self->attempt_ != 0 && self->connection_->idle())
                    self->transmit(std::exchange(self->text_, {}));
            });
    }

    void end_attempt(attempt_result&& result)
    {
        const auto ended = attempt_;
        attempt_ = 0;
        since_ = pool_.clock_.now();
        pool_.by_attempt_.erase(ended);
        pool_.listener_.attempt_ended(ended, std::move(result));
    }

    void on_open(client_connection&) override
    {
        since_ = pool_.clock_.now();
        ++pool_.opened_;
        const auto self = shared_from_this();
        if (target_->is_ejected())
            pool_.listener_.searcher_reachable(target_);
        if (attempt_ == 0)
            return;
        if (pool_.cautious())
            transmit_later();
        else
            transmit(std::exchange(text_, {}));
    }

    void
    on_response(client_connection& from, server_response&& response) override
    {
        const auto self = shared_from_this();
        if (!belongs_to(response, pool_.names_, id_))
        {
            if (response.keep_alive)
                from.expect_another();
            else
                fail(attempt_outcome::broken);
            return;
        }
        const auto told = keep_alive_time(field(response.fields, "keep-alive"));
        idle_time_ = told > 0s
                         ? std::max<duration>(told - idle_margin, idle_margin)
                         : duration(default_idle_time);
        const auto keep = response.keep_alive && !target_->is_leaving();
        auto result = read_answer(std::move(response), pool_.names_, part_);
        if (!keep || result.outcome == attempt_outcome::misdirected ||
            result.outcome == attempt_outcome::broken)
        {
            connection_->close();
            pool_.drop(*this);
        }
        end_attempt(std::move(result));
    }

    void on_end(client_connection&, connection_end why) override
    {
        if (why == connection_end::not_opened)
            fail(attempt_outcome::not_sent);
        else if (!sent_)
            fail(attempt_outcome::turned_away);
        else if (why == connection_end::unacknowledged)
            fail(attempt_outcome::unacknowledged);
        else
            fail(attempt_outcome::broken);
    }

    searcher_pool& pool_;
    std::shared_ptr<searcher> target_;
    std::shared_ptr<client_connection> connection_;
    attempt_handle attempt_ = 0;
    outgoing_request text_;
    std::string id_;
    bool part_ = false;
    bool body_expected_ = true;
    /** A request was sent on this connection. */
    bool sent_ = false;
    std::optional<loop_timer> delay_;
    time_point deadline_{};
    time_point since_;
    duration idle_time_ = default_idle_time;
};

searcher_pool::searcher_pool(
    event_context& loop,
    const clock& time,
    const protocol_names& names,
    pool_listener& listener)
    : loop_(loop)
    , clock_(time)
    , names_(names)
    , listener_(listener)
    , started_(time.now())
{
}

searcher_pool::~searcher_pool()
{
    for (const auto& [key, it] : links_)
        it->close();
}

void searcher_pool::send(
    attempt_handle attempt,
    const outgoing_request& request,
    const std::shared_ptr<searcher>& target,
    duration time_left)
{
    auto chosen = idle_link(*target);
    if (!chosen)
        chosen = open_link(target);
    chosen->carry(attempt, request, time_left);
}

void searcher_pool::abandon(attempt_handle attempt)
{
    const auto found = by_attempt_.find(attempt);
    if (found == by_attempt_.end())
        return;
    auto* const which = found->second;
    by_attempt_.erase(found);
    which->close();
    drop(*which);
}

void searcher_pool::warm(const std::shared_ptr<searcher>& target)
{
    if (!target->is_leaving() && by_searcher_[target.get()].empty())
        open_link(target);
}

void searcher_pool::probe(const std::shared_ptr<searcher>& target)
{
    close_idle(target);
    const auto& all = by_searcher_[target.get()];
    const auto opening = std::any_of(
        all.begin(), all.end(), [](const auto& it) { return it->opening(); });
    if (!opening && !target->is_leaving() &&
        all.size() < target->max_in_flight())
        open_link(target);
}

void searcher_pool::close_idle(const std::shared_ptr<searcher>& target)
{
    const auto found = by_searcher_.find(target.get());
    if (found == by_searcher_.end())
        return;
    const auto all = found->second;
    for (const auto& it : all)
    {
        if (!it->idle())
            continue;
        it->close();
        drop(*it);
    }
}

void searcher_pool::sweep()
{
    const auto now = clock_.now();
    std::vector<std::shared_ptr<link>> late;
    std::vector<std::shared_ptr<link>> expired;
    for (const auto& [key, it] : links_)
    {
        if (it->opening_too_long(now))
            late.push_back(it);
        else if (it->expired(now))
            expired.push_back(it);
    }
    for (const auto& [target, all] : by_searcher_)
    {
        std::size_t n = 0;
        for (const auto& it : all)
        {
            if (it->idle() && ++n > target->max_idle_connections() &&
                it->spare(now) && !it->expired(now))
                expired.push_back(it);
        }
    }
    for (const auto& it : expired)
    {
        it->close();
        drop(*it);
        if (it->target()->is_preferred())
            warm(it->target());
    }
    for (const auto& it : late)
        it->fail(attempt_outcome::not_sent);
}

bool searcher_pool::cautious() const
{
    return clock_.now() - started_ < cautious_time;
}

std::shared_ptr<searcher_pool::link>
searcher_pool::idle_link(const searcher& target) const
{
    const auto found = by_searcher_.find(&target);
    if (found == by_searcher_.end())
        return nullptr;
    const auto now = clock_.now();
    std::shared_ptr<link> made;
    for (const auto& it : found->second)
    {
        if (it->usable(now) && (!made || it->since() > made->since()))
            made = it;
    }
    if (made)
        return made;
    // A connection that is being opened ahead of need is nearly ready.
    for (const auto& it : found->second)
    {
        if (it->attempt() == 0 && it->opening())
            return it;
    }
    return nullptr;
}

std::shared_ptr<searcher_pool::link>
searcher_pool::open_link(const std::shared_ptr<searcher>& target)
{
    auto made = std::make_shared<link>(*this, target);
    by_searcher_[target.get()].push_back(made);
    links_.emplace(made.get(), made);
    made->open();
    return made;
}

void searcher_pool::drop(const link& which)
{
    const auto found = links_.find(&which);
    if (found == links_.end())
        return;
    const auto kept = found->second;
    links_.erase(found);
    auto& all = by_searcher_[kept->target().get()];
    std::erase(all, kept);
    if (all.empty())
        by_searcher_.erase(kept->target().get());
}

} // namespace turmericlane
