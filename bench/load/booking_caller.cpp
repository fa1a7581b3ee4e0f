#include "booking_caller.h"

#include <future>
#include <thread>

namespace turmericlane::load
{

using json = nlohmann::json;

namespace
{

constexpr int max_ticket_attempts = 3;
constexpr int max_booking_attempts = 3;
constexpr std::chrono::milliseconds ticket_timeout{1000};

/** Time after the deadline for which the caller waits for a reply. */
constexpr std::chrono::milliseconds reply_margin{500};

/** Delay before a booking without a reply is sent again. */
constexpr std::chrono::milliseconds repeat_delay{100};

} // namespace

booking_caller::booking_caller(
    client_pool& pool, run_verifier& verifier, load_report& report)
    : pool_(pool)
    , verifier_(verifier)
    , report_(report)
{
}

void booking_caller::send(const arrival& request, instance_cache& instances)
{
    endpoint issuer;
    auto ticket = request_ticket(instances, issuer);
    if (ticket.is_null())
    {
        booking_outcome outcome;
        outcome.has_no_ticket = true;
        return report_.add(outcome);
    }
    auto replies = send_all(request, ticket, issuer, instances);
    while (replies.back().verdict == "lost" &&
           replies.size() < max_booking_attempts)
    {
        std::this_thread::sleep_for(repeat_delay);
        replies.push_back(send_once(
            request, ticket, request.text,
            instances.next_other_instance(issuer), instances));
    }
    report(request, replies);
}

json booking_caller::request_ticket(instance_cache& instances, endpoint& issuer)
{
    for (int n = 0; n < max_ticket_attempts; ++n)
    {
        issuer = instances.next_instance();
        auto reply = pool_.post(issuer, "/v1/tickets", "{}", ticket_timeout);
        if (reply.state != exchange_state::replied)
        {
            instances.report_failure(issuer);
            continue;
        }
        auto answer = json::parse(reply.body, nullptr, false);
        if (answer.is_object() && answer.contains("ticket"))
            return answer["ticket"];
    }
    return nullptr;
}

booking_caller::booking_reply booking_caller::send_once(
    const arrival& request,
    const json& ticket,
    const std::string& payload,
    const endpoint& target,
    instance_cache& instances)
{
    json body = {
        {"ticket", ticket},
        {"service", request.services.front()},
        {"key", request.text},
        {"payload", payload},
        {"deadline_ms", request.deadline.count()},
        {"rank", turmericlane::to_string(request.request_rank)}};
    auto reply = pool_.post(
        target, "/v1/bookings", body.dump(), request.deadline + reply_margin);
    booking_reply result;
    if (reply.state != exchange_state::replied)
    {
        instances.report_failure(target);
        result.reason = "lost";
        if (reply.state == exchange_state::not_connected)
            result.reason = "not_connected";
        return result;
    }
    auto answer = json::parse(reply.body, nullptr, false);
    auto read_text = [&](const char* name)
    {
        auto value = answer.value(name, json());
        return value.is_string() ? value.get<std::string>() : value.dump();
    };
    if (!answer.is_object())
        answer = json::object();
    result.verdict = read_text("verdict");
    result.reason = read_text("reason");
    result.result = read_text("result");
    return result;
}

std::vector<booking_caller::booking_reply> booking_caller::send_all(
    const arrival& request,
    const json& ticket,
    const endpoint& issuer,
    instance_cache& instances)
{
    std::vector<booking_reply> replies;
    auto send_to = [&](const endpoint& target, const std::string& payload)
    { return send_once(request, ticket, payload, target, instances); };
    if (request.mode == booking_mode::concurrent)
    {
        auto other_instance = instances.next_other_instance(issuer);
        auto second_reply = std::async(
            std::launch::async,
            [&] { return send_to(other_instance, request.text); });
        replies.push_back(send_to(issuer, request.text));
        replies.push_back(second_reply.get());
        return replies;
    }
    replies.push_back(send_to(issuer, request.text));
    if (request.mode == booking_mode::repeat)
        replies.push_back(send_to(issuer, request.text));
    if (request.mode == booking_mode::repeat_elsewhere)
        replies.push_back(
            send_to(instances.next_other_instance(issuer), request.text));
    if (request.mode == booking_mode::other_payload)
        replies.push_back(send_to(issuer, request.text + "changed"));
    return replies;
}

void booking_caller::report(
    const arrival& request, const std::vector<booking_reply>& replies)
{
    booking_outcome outcome;
    std::vector<std::string> verdicts;
    const booking_reply* first_success = nullptr;
    for (const auto& it : replies)
    {
        outcome.replies.push_back(it.verdict + '/' + it.reason);
        verdicts.push_back(it.verdict);
        if (it.verdict != "ran" && it.verdict != "not_run" &&
            it.verdict != "may_have_run" && it.verdict != "lost")
            outcome.violations.push_back(
                {violation::malformed, "verdict of a booking: " + it.verdict});
        if (it.verdict != "ran")
            continue;
        if (first_success == nullptr)
            first_success = &it;
        else if (it.result != first_success->result)
            outcome.violations.push_back(
                {violation::wrong_answer,
                 "booking " + request.text + " has two results"});
    }
    verifier_.record_booking(request.text, std::move(verdicts));
    report_.add(outcome);
}

} // namespace turmericlane::load
