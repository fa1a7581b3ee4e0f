#include "booking_executor.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace turmericlane
{

class booking_executor::implementation
{
public:
    enum class phase : std::uint8_t
    {
        /** No byte was written. */
        connecting,
        /** A byte may have left. */
        written,
        finished
    };

    struct record
    {
        phase state = phase::connecting;
        ordinal issuer = 0;
        /** Emptied once it was written. */
        booking_frame frame;
        time_point send_before;
        booking_answer answer;
    };

    /** What outlives the records of one issuer. */
    struct issuer_state
    {
        std::size_t records = 0;
        /** Highest serial whose record was dropped. */
        std::uint64_t forgotten = 0;
        bool gone = false;
    };

    implementation(
        std::uint64_t nonce,
        const executor_limits& limits,
        const clock& time,
        booking_backend& backend)
        : nonce_(nonce)
        , limits_(limits)
        , clock_(time)
        , backend_(backend)
    {
    }

    void on_frame(ordinal issuer, const booking_frame& frame)
    {
        auto now = clock_.now();
        drop_records(now);
        // The process that the frame was meant for may have executed it.
        if (frame.owner_nonce != nonce_)
            return refuse(issuer, frame.id, reason::owner_lost);
        if (auto it = records_.find(frame.id); it != records_.end())
            return repeat(issuer, it->second);
        auto& state = issuers_[frame.id.issuer_nonce];
        if (frame.id.serial <= state.forgotten)
            return refuse(issuer, frame.id, reason::ticket_forgotten);
        // Without a record a repeat could run later, which rules out not_run.
        if (records_.size() >= limits_.records)
            return refuse(issuer, frame.id, reason::ticket_table_full);
        ++state.records;
        state.gone = false;
        drops_.emplace_back(now + limits_.retention, frame.id);
        auto& made = records_[frame.id];
        made.issuer = issuer;
        made.frame = frame;
        made.send_before = now + frame.time_left;
        open_.insert(frame.id);
        if (draining_)
            return finish(made, not_run(reason::instance_leaving));
        if (frame.time_left <= duration::zero())
            return finish(made, not_run(reason::deadline_past));
        backend_.connect(frame.id, frame.group);
    }

    void on_connected(const booking_key& id)
    {
        auto it = records_.find(id);
        if (it == records_.end() || it->second.state == phase::finished)
            return backend_.release(id);
        auto& known = it->second;
        assert(known.state == phase::connecting);
        auto now = clock_.now();
        if (known.send_before <= now)
        {
            backend_.release(id);
            return finish(known, not_run(reason::deadline_past));
        }
        known.state = phase::written;
        backend_.write(known.frame, known.send_before - now);
        known.frame.payload = {};
    }

    void end(const booking_key& id, phase expected, booking_answer answer)
    {
        auto it = records_.find(id);
        if (it == records_.end() || it->second.state != expected)
            return;
        finish(it->second, std::move(answer));
    }

    void on_issuer_gone(std::uint64_t nonce)
    {
        auto it = issuers_.find(nonce);
        if (it == issuers_.end())
            return;
        it->second.gone = true;
        if (it->second.records == 0)
            issuers_.erase(it);
    }

    void start_draining()
    {
        draining_ = true;
    }

    void on_timer()
    {
        auto now = clock_.now();
        auto open = open_;
        for (const auto& id : open)
        {
            auto& it = records_.at(id);
            if (it.state == phase::connecting && it.send_before <= now)
                finish(it, not_run(reason::deadline_past));
        }
        drop_records(now);
    }

    time_point next_wakeup() const
    {
        auto soonest = time_point::max();
        if (!drops_.empty())
            soonest = drops_.front().first;
        for (const auto& id : open_)
        {
            const auto& it = records_.at(id);
            if (it.state == phase::connecting)
                soonest = std::min(soonest, it.send_before);
        }
        return soonest;
    }

    std::size_t in_flight() const
    {
        return open_.size();
    }

    std::size_t records() const
    {
        return records_.size();
    }

    static booking_answer not_run(reason why)
    {
        return {verdict::refused(why), 0, {}};
    }

private:
    void refuse(ordinal issuer, const booking_key& id, reason why)
    {
        backend_.reply(issuer, id, {verdict::unknown(why), 0, {}});
    }

    void repeat(ordinal issuer, record& known)
    {
        known.issuer = issuer;
        if (known.state == phase::finished)
            backend_.reply(issuer, known.frame.id, known.answer);
    }

    void finish(record& open, booking_answer answer)
    {
        open.state = phase::finished;
        open.answer = std::move(answer);
        open.frame.payload = {};
        open_.erase(open.frame.id);
        backend_.reply(open.issuer, open.frame.id, open.answer);
    }

    void drop_records(time_point now)
    {
        while (!drops_.empty() && drops_.front().first <= now)
        {
            auto id = drops_.front().second;
            drops_.pop_front();
            if (open_.contains(id))
                drops_.emplace_back(now + limits_.retention, id);
            else
                forget(id);
        }
    }

    void forget(const booking_key& id)
    {
        records_.erase(id);
        auto it = issuers_.find(id.issuer_nonce);
        assert(it != issuers_.end() && it->second.records > 0);
        it->second.forgotten = std::max(it->second.forgotten, id.serial);
        if (--it->second.records == 0 && it->second.gone)
            issuers_.erase(it);
    }

    std::uint64_t nonce_;
    executor_limits limits_;
    const clock& clock_;
    booking_backend& backend_;
    std::map<booking_key, record> records_;
    std::map<std::uint64_t, issuer_state> issuers_;
    /** When records may be dropped, soonest first. */
    std::deque<std::pair<time_point, booking_key>> drops_;
    /** Bookings without an outcome. */
    std::set<booking_key> open_;
    bool draining_ = false;
};

booking_executor::booking_executor(
    std::uint64_t nonce,
    const executor_limits& limits,
    const clock& time,
    booking_backend& backend)
    : implementation_(
          std::make_unique<implementation>(nonce, limits, time, backend))
{
}

booking_executor::~booking_executor() = default;

void booking_executor::on_frame(ordinal issuer, const booking_frame& frame)
{
    implementation_->on_frame(issuer, frame);
}

void booking_executor::on_connected(const booking_key& id)
{
    implementation_->on_connected(id);
}

void booking_executor::on_connect_failed(const booking_key& id, reason why)
{
    implementation_->end(
        id, implementation::phase::connecting, implementation::not_run(why));
}

void booking_executor::on_reply(
    const booking_key& id, int status, std::string body)
{
    implementation_->end(
        id, implementation::phase::written,
        {verdict::success(), status, std::move(body)});
}

void booking_executor::on_refused(const booking_key& id, reason why)
{
    implementation_->end(
        id, implementation::phase::written, implementation::not_run(why));
}

void booking_executor::on_lost(const booking_key& id)
{
    implementation_->end(
        id, implementation::phase::written,
        {verdict::unknown(reason::reply_lost), 0, {}});
}

void booking_executor::on_issuer_gone(std::uint64_t nonce)
{
    implementation_->on_issuer_gone(nonce);
}

void booking_executor::start_draining()
{
    implementation_->start_draining();
}

void booking_executor::on_timer()
{
    implementation_->on_timer();
}

time_point booking_executor::next_wakeup() const
{
    return implementation_->next_wakeup();
}

std::size_t booking_executor::in_flight() const
{
    return implementation_->in_flight();
}

std::size_t booking_executor::records() const
{
    return implementation_->records();
}

} // namespace turmericlane
