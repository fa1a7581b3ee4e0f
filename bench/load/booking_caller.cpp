#include "booking_caller.h"

#include <future>
#include <thread>

namespace turmericlane::load
{

using json = nlohmann::json;

namespace
{

constexpr int most_ticket_attempts = 3;
constexpr int most_repeats_of_lost = 3;
constexpr std::chrono::milliseconds ticket_time_limit{1000};

/** Time past the deadline that a reply is waited for. */
constexpr std::chrono::milliseconds reply_margin{500};

/** Pause before a booking whose reply was lost is sent again. */
constexpr std::chrono::milliseconds repeat_delay{100};

} // namespace

booking_caller::booking_caller(
    client_pool& pool, run_judge& judge, load_report& report)
    : pool_(pool)
    , judge_(judge)
    , report_(report)
{
}

void booking_caller::send(const arrival& asked, instance_view& view)
{
    endpoint issuer;
    auto ticket = take_ticket(view, issuer);
    if (ticket.is_null())
    {
        booking_outcome ended;
        ended.no_ticket = true;
        return report_.add(ended);
    }
    auto replies = send_all(asked, ticket, issuer, view);
    while (replies.back().verdict == "lost" &&
           replies.size() < most_repeats_of_lost)
    {
        std::this_thread::sleep_for(repeat_delay);
        replies.push_back(send_once(
            asked, ticket, asked.text, view.pick_other(issuer), view));
    }
    report(asked, replies);
}

json booking_caller::take_ticket(instance_view& view, endpoint& issuer)
{
    for (int n = 0; n < most_ticket_attempts; ++n)
    {
        issuer = view.pick();
        auto reply = pool_.post(issuer, "/v1/tickets", "{}", ticket_time_limit);
        if (reply.state != exchange_state::replied)
        {
            view.report_failure(issuer);
            continue;
        }
        auto answer = json::parse(reply.body, nullptr, false);
        if (answer.is_object() && answer.contains("ticket"))
            return answer["ticket"];
    }
    return nullptr;
}

booking_caller::booking_reply booking_caller::send_once(
    const arrival& asked,
    const json& ticket,
    const std::string& payload,
    const endpoint& to,
    instance_view& view)
{
    json body = {
        {"ticket", ticket},
        {"service", asked.services.front()},
        {"key", asked.text},
        {"payload", payload},
        {"deadline_ms", asked.deadline.count()},
        {"rank", turmericlane::to_string(asked.work)}};
    auto reply = pool_.post(
        to, "/v1/bookings", body.dump(), asked.deadline + reply_margin);
    booking_reply made;
    if (reply.state != exchange_state::replied)
    {
        view.report_failure(to);
        made.reason = "lost";
        if (reply.state == exchange_state::not_connected)
            made.reason = "not_connected";
        return made;
    }
    auto answer = json::parse(reply.body, nullptr, false);
    auto text = [&](const char* name)
    {
        auto value = answer.value(name, json());
        return value.is_string() ? value.get<std::string>() : value.dump();
    };
    if (!answer.is_object())
        answer = json::object();
    made.verdict = text("verdict");
    made.reason = text("reason");
    made.result = text("result");
    return made;
}

std::vector<booking_caller::booking_reply> booking_caller::send_all(
    const arrival& asked,
    const json& ticket,
    const endpoint& issuer,
    instance_view& view)
{
    std::vector<booking_reply> replies;
    auto send_to = [&](const endpoint& to, const std::string& payload)
    { return send_once(asked, ticket, payload, to, view); };
    if (asked.mode == booking_mode::concurrent)
    {
        auto other = view.pick_other(issuer);
        auto second = std::async(
            std::launch::async, [&] { return send_to(other, asked.text); });
        replies.push_back(send_to(issuer, asked.text));
        replies.push_back(second.get());
        return replies;
    }
    replies.push_back(send_to(issuer, asked.text));
    if (asked.mode == booking_mode::repeat)
        replies.push_back(send_to(issuer, asked.text));
    if (asked.mode == booking_mode::repeat_elsewhere)
        replies.push_back(send_to(view.pick_other(issuer), asked.text));
    if (asked.mode == booking_mode::other_payload)
        replies.push_back(send_to(issuer, asked.text + "changed"));
    return replies;
}

void booking_caller::report(
    const arrival& asked, const std::vector<booking_reply>& replies)
{
    booking_outcome ended;
    std::vector<std::string> verdicts;
    const booking_reply* first_run = nullptr;
    for (const auto& it : replies)
    {
        ended.replies.push_back(it.verdict + '/' + it.reason);
        verdicts.push_back(it.verdict);
        if (it.verdict != "ran" && it.verdict != "not_run" &&
            it.verdict != "may_have_run" && it.verdict != "lost")
            ended.violations.push_back(
                {violation::malformed, "verdict of a booking: " + it.verdict});
        if (it.verdict != "ran")
            continue;
        if (first_run == nullptr)
            first_run = &it;
        else if (it.result != first_run->result)
            ended.violations.push_back(
                {violation::wrong_answer,
                 "booking " + asked.text + " has two results"});
    }
    judge_.note_booking(asked.text, std::move(verdicts));
    report_.add(ended);
}

} // namespace turmericlane::load
