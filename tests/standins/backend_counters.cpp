#include "backend_counters.h"

#include <algorithm>

namespace turmericlane::standins
{

void backend_counters::add(const backend_counters& other)
{
    received += other.received;
    needed += other.needed;
    for (std::size_t n = 0; n < rank_count; ++n)
        received_by_rank[n] += other.received_by_rank[n];
    executed += other.executed;
    bookings_received += other.bookings_received;
    bookings_executed += other.bookings_executed;
    shed += other.shed;
    snapshot_gone += other.snapshot_gone;
    deadline_passed += other.deadline_passed;
    cancels += other.cancels;
    cancelled += other.cancelled;
    abandoned += other.abandoned;
    replies_lost += other.replies_lost;
    peak_queue = std::max(peak_queue, other.peak_queue);
    after_mark += other.after_mark;
    after_mark_3s += other.after_mark_3s;
    last_after_mark_ms = std::max(last_after_mark_ms, other.last_after_mark_ms);
}

nlohmann::json backend_counters::to_json() const
{
    nlohmann::json by_rank;
    for (auto it : all_ranks)
        by_rank[std::string(to_string(it))] = received_by_rank[index_of(it)];
    return {
        {"received", received},
        {"needed", needed},
        {"received_by_rank", by_rank},
        {"executed", executed},
        {"bookings_received", bookings_received},
        {"bookings_executed", bookings_executed},
        {"shed", shed},
        {"snapshot_gone", snapshot_gone},
        {"deadline_passed", deadline_passed},
        {"cancels", cancels},
        {"cancelled", cancelled},
        {"abandoned", abandoned},
        {"replies_lost", replies_lost},
        {"peak_queue", peak_queue},
        {"after_mark", after_mark},
        {"after_mark_3s", after_mark_3s},
        {"last_after_mark_ms", last_after_mark_ms},
    };
}

} // namespace turmericlane::standins
