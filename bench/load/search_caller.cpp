#include "search_caller.h"

namespace turmericlane::load
{

using json = nlohmann::json;
using std::chrono::steady_clock;

namespace
{

constexpr int most_attempts = 4;

/** Time past the deadline that a reply is waited for. */
constexpr std::chrono::milliseconds reply_margin{500};

std::string make_body(const arrival& asked, std::chrono::milliseconds left)
{
    json body = {{"request_id", asked.text},
                 {"services", asked.services},
                 {"query", asked.text},
                 {"rank", turmericlane::to_string(asked.work)},
                 {"deadline_ms", left.count()},
                 {"limit", asked_hits}};
    return body.dump();
}

} // namespace

search_caller::search_caller(
    client_pool& pool,
    const answer_check& check,
    run_judge& judge,
    load_report& report)
    : pool_(pool)
    , check_(check)
    , judge_(judge)
    , report_(report)
{
}

void search_caller::send(
    const arrival& asked, instance_view& view, steady_clock::time_point began)
{
    search_outcome ended;
    ended.work = asked.work;
    ended.deadline = asked.deadline;
    // The deadline counts from the moment of sending; when the tool itself is
    // late, that shows in the late starts and not in the answers.
    auto deadline = steady_clock::now() + asked.deadline;
    for (int n = 0; n < most_attempts; ++n)
    {
        auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - steady_clock::now());
        if (left < std::chrono::milliseconds(1))
            break;
        auto target = view.pick();
        auto reply = pool_.post(
            target, "/v1/search", make_body(asked, left), left + reply_margin);
        if (reply.state != exchange_state::replied)
        {
            view.report_failure(target);
            auto lost = reply.state == exchange_state::lost;
            ++(lost ? ended.lost : ended.not_connected);
            continue;
        }
        auto checked = check_.check(asked, asked.text, reply.body);
        ended.verdict = checked.verdict;
        ended.reason = checked.reason;
        ended.snapshot = checked.snapshot;
        ended.coverage = checked.coverage;
        ended.groups_needed = checked.groups_needed;
        ended.sub_requests_sent = checked.sub_requests_sent;
        ended.violations = std::move(checked.violations);
        break;
    }
    ended.latency = steady_clock::now() - began;
    if (ended.verdict == "not_run" && ended.lost == 0)
        judge_.note_refused_search(asked.text);
    report_.add(ended);
}

} // namespace turmericlane::load
