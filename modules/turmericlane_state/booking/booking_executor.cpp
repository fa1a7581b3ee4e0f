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
        /** Waits for a connection; no byte was written. */
        connecting,
        /** A byte may have been sent. */
        written,
        finished
    };

    struct record
    {
        phase current_phase = phase::connecting;
        ordinal issuer = 0;
        /** Its payload is cleared once it is written. */
        booking_frame frame;
        time_point send_deadline;
        booking_answer answer;
    };

    /** State about one issuer that is kept after its records are removed. */
    struct issuer_state
    {
        std::size_t record_count = 0;
        /** Highest serial whose record was removed. */
        std::uint64_t highest_removed_serial = 0;
        bool is_gone = false;
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
        remove_old_records(now);
        // The process that the frame was addressed to may have executed it.
        if (frame.owner_nonce != nonce_)
            return reply_may_have_run(issuer, frame.id, reason::owner_lost);
        if (auto it = records_.find(frame.id); it != records_.end())
            return answer_repeat(issuer, it->second);
        auto& issuer_info = issuers_[frame.id.issuer_nonce];
        if (frame.id.serial <= issuer_info.highest_removed_serial)
            return reply_may_have_run(
                issuer, frame.id, reason::ticket_forgotten);
        // Without a record a repeated frame could run later, so the answer must
        // not be not_run.
        if (records_.size() >= limits_.max_records)
            return reply_may_have_run(
                issuer, frame.id, reason::ticket_table_full);
        ++issuer_info.record_count;
        issuer_info.is_gone = false;
        removals_.emplace_back(now + limits_.retention, frame.id);
        auto& new_record = records_[frame.id];
        new_record.issuer = issuer;
        new_record.frame = frame;
        new_record.send_deadline = now + frame.time_left;
        open_bookings_.insert(frame.id);
        if (is_draining_)
            return finish(new_record, not_run(reason::instance_leaving));
        if (frame.time_left <= duration::zero())
            return finish(new_record, not_run(reason::deadline_past));
        backend_.connect(frame.id, frame.group);
    }

    void on_connected(const booking_key& id)
    {
        auto it = records_.find(id);
        if (it == records_.end() || it->second.current_phase == phase::finished)
            return backend_.release(id);
        auto& stored_record = it->second;
        assert(stored_record.current_phase == phase::connecting);
        auto now = clock_.now();
        if (stored_record.send_deadline <= now)
        {
            backend_.release(id);
            return finish(stored_record, not_run(reason::deadline_past));
        }
        stored_record.current_phase = phase::written;
        backend_.write(stored_record.frame, stored_record.send_deadline - now);
        stored_record.frame.payload = {};
    }

    void finish_if_in_phase(
        const booking_key& id, phase expected_phase, booking_answer answer)
    {
        auto it = records_.find(id);
        if (it == records_.end() || it->second.current_phase != expected_phase)
            return;
        finish(it->second, std::move(answer));
    }

    void on_issuer_gone(std::uint64_t nonce)
    {
        auto it = issuers_.find(nonce);
        if (it == issuers_.end())
            return;
        it->second.is_gone = true;
        if (it->second.record_count == 0)
            issuers_.erase(it);
    }

    void start_draining()
    {
        is_draining_ = true;
    }

    void on_timer()
    {
        auto now = clock_.now();
        auto open_ids = open_bookings_;
        for (const auto& id : open_ids)
        {
            auto& it = records_.at(id);
            if (it.current_phase == phase::connecting &&
                it.send_deadline <= now)
                finish(it, not_run(reason::deadline_past));
        }
        remove_old_records(now);
    }

    time_point next_wakeup() const
    {
        auto wakeup_time = time_point::max();
        if (!removals_.empty())
            wakeup_time = removals_.front().first;
        for (const auto& id : open_bookings_)
        {
            const auto& it = records_.at(id);
            if (it.current_phase == phase::connecting)
                wakeup_time = std::min(wakeup_time, it.send_deadline);
        }
        return wakeup_time;
    }

    std::size_t in_flight() const
    {
        return open_bookings_.size();
    }

    std::size_t record_count() const
    {
        return records_.size();
    }

    static booking_answer not_run(reason cause)
    {
        return {verdict::refused(cause), 0, {}};
    }

private:
    void reply_may_have_run(ordinal issuer, const booking_key& id, reason cause)
    {
        backend_.reply(issuer, id, {verdict::unknown(cause), 0, {}});
    }

    void answer_repeat(ordinal issuer, record& stored_record)
    {
        stored_record.issuer = issuer;
        if (stored_record.current_phase == phase::finished)
            backend_.reply(
                issuer, stored_record.frame.id, stored_record.answer);
    }

    void finish(record& open_record, booking_answer answer)
    {
        open_record.current_phase = phase::finished;
        open_record.answer = std::move(answer);
        open_record.frame.payload = {};
        open_bookings_.erase(open_record.frame.id);
        backend_.reply(
            open_record.issuer, open_record.frame.id, open_record.answer);
    }

    void remove_old_records(time_point now)
    {
        while (!removals_.empty() && removals_.front().first <= now)
        {
            auto id = removals_.front().second;
            removals_.pop_front();
            if (open_bookings_.contains(id))
                removals_.emplace_back(now + limits_.retention, id);
            else
                remove_record(id);
        }
    }

    void remove_record(const booking_key& id)
    {
        records_.erase(id);
        auto it = issuers_.find(id.issuer_nonce);
        assert(it != issuers_.end() && it->second.record_count > 0);
        it->second.highest_removed_serial =
            std::max(it->second.highest_removed_serial, id.serial);
        if (--it->second.record_count == 0 && it->second.is_gone)
            issuers_.erase(it);
    }

    std::uint64_t nonce_;
    executor_limits limits_;
    const clock& clock_;
    booking_backend& backend_;
    std::map<booking_key, record> records_;
    std::map<std::uint64_t, issuer_state> issuers_;
    /** Times at which records may be removed, earliest first. */
    std::deque<std::pair<time_point, booking_key>> removals_;
    /** Bookings without an outcome. */
    std::set<booking_key> open_bookings_;
    bool is_draining_ = false;
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

void booking_executor::on_connect_failed(const booking_key& id, reason cause)
{
    implementation_->finish_if_in_phase(
        id, implementation::phase::connecting, implementation::not_run(cause));
}

void booking_executor::on_reply(
    const booking_key& id, int status, std::string body)
{
    implementation_->finish_if_in_phase(
        id, implementation::phase::written,
        {verdict::success(), status, std::move(body)});
}

void booking_executor::on_rejected(const booking_key& id, reason cause)
{
    implementation_->finish_if_in_phase(
        id, implementation::phase::written, implementation::not_run(cause));
}

void booking_executor::on_reply_lost(const booking_key& id)
{
    implementation_->finish_if_in_phase(
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

std::size_t booking_executor::record_count() const
{
    return implementation_->record_count();
}

} // namespace turmericlane
