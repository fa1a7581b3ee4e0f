#include "search_caller.h"

namespace turmericlane::load
{

using json = nlohmann::json;
using std::chrono::steady_clock;

namespace
{

constexpr int max_attempts = 4;

/** Time after the deadline for which the caller waits for a reply. */
constexpr std::chrono::milliseconds reply_margin{500};

std::string
make_body(const arrival& request, std::chrono::milliseconds time_left)
{
    json body = {
        {"request_id", request.text},
        {"services", request.services},
        {"query", request.text},
        {"rank", turmericlane::to_string(request.request_rank)},
        {"deadline_ms", time_left.count()},
        {"limit", requested_hit_count}};
    return body.dump();
}

} // namespace

search_caller::search_caller(
    client_pool& pool,
    const answer_checker& checker,
    run_verifier& verifier,
    load_report& report)
    : pool_(pool)
    , checker_(checker)
    , verifier_(verifier)
    , report_(report)
{
}

void search_caller::send(
    const arrival& request,
    instance_cache& instances,
    steady_clock::time_point due_time)
{
    search_outcome outcome;
    outcome.request_rank = request.request_rank;
    outcome.deadline = request.deadline;
    // The deadline counts from the time of sending: a delay of the load tool
    // itself is reported as a late start and does not shorten the deadline.
    auto deadline = steady_clock::now() + request.deadline;
    for (int n = 0; n < max_attempts; ++n)
    {
        auto time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - steady_clock::now());
        if (time_left < std::chrono::milliseconds(1))
            break;
        auto target = instances.next_instance();
        auto reply = pool_.post(
            target, "/v1/search", make_body(request, time_left),
            time_left + reply_margin);
        if (reply.state != exchange_state::replied)
        {
            instances.report_failure(target);
            auto is_lost = reply.state == exchange_state::lost;
            ++(is_lost ? outcome.lost_attempts : outcome.unconnected_attempts);
            continue;
        }
        auto check_result = checker_.check(request, request.text, reply.body);
        outcome.verdict = check_result.verdict;
        outcome.reason = check_result.reason;
        outcome.snapshot = check_result.snapshot;
        outcome.coverage = check_result.coverage;
        outcome.groups_needed = check_result.groups_needed;
        outcome.sub_requests_sent = check_result.sub_requests_sent;
        outcome.violations = std::move(check_result.violations);
        break;
    }
    outcome.latency = steady_clock::now() - due_time;
    if (outcome.verdict == "not_run" && outcome.lost_attempts == 0)
        verifier_.record_refused_search(request.text);
    report_.add(outcome);
}

} // namespace turmericlane::load
