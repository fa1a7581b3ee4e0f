#include "log_explainer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <istream>
#include <sstream>

namespace turmericlane
{

namespace
{

using nlohmann::json;

std::string text_of(const json& line, const char* name)
{
    const auto found = line.find(name);
    if (found == line.end())
        return "?";
    return found->is_string() ? found->get<std::string>() : found->dump();
}

std::string outcome_of_attempt(const std::string& how)
{
    if (how == "server_error")
        return "the searcher answered with a failure of its own";
    if (how == "rejected")
        return "the searcher was full and has not run it";
    if (how == "misdirected")
        return "the address serves another searcher now";
    if (how == "not_sent")
        return "the searcher could not be reached";
    if (how == "turned_away")
        return "the searcher has too many connections";
    if (how == "unacknowledged")
        return "the searcher's host acknowledged nothing: it is down or cut "
               "off";
    if (how == "broken")
        return "no usable answer; it may have run";
    return how;
}

std::string cause_of_failure(const json& line)
{
    auto why = text_of(line, "why");
    const auto parts = text_of(line, "missing_parts");
    if (why == "overloaded")
        return "refused before anything was sent: waiting work would have made "
               "it late (processor lag " +
               text_of(line, "lag_ms") + " ms)";
    if (why == "no_searcher")
        return "refused before anything was sent: no searcher is known for "
               "enough of its services";
    if (why == "leaving")
        return "refused before anything was sent: the instance was shutting "
               "down";
    if (why == "no_state")
        return "refused before anything was sent: the instance had not read "
               "the configuration and the searchers yet";
    if (why == "no_route")
        return "refused: no route of version " + text_of(line, "version") +
               " matches its host and path";
    if (why == "no_request_id")
        return "refused: it carries no id";
    if (why == "searchers_full")
        return "not run: no searcher took it (" + parts + ")";
    if (why == "attempts_failed")
        return "all attempts that the route and the budget allow failed (" +
               parts + ")";
    if (why == "deadline")
        return "too little had arrived at the deadline (" + parts + ")";
    return why;
}

std::string cause_of_answer(const json& line)
{
    const auto missing = text_of(line, "missing");
    const auto late = line.value("took_ms", 0) > line.value("target_ms", 0);
    std::string made = late ? "answered late" : "answered in time";
    if (missing != "0")
        made += ", without " + missing + " parts (" +
                text_of(line, "missing_parts") + ")";
    return made;
}

std::string sentence_of(const std::string& event, const json& line)
{
    if (event == "attempt_failed")
        return "attempt at " + text_of(line, "searcher") + " of " +
               text_of(line, "service") + ": " +
               outcome_of_attempt(text_of(line, "how"));
    if (event == "attempt_repeated")
        return std::string(line.value("hedge", false) ? "hedge" : "retry") +
               " for " + text_of(line, "service");
    if (event == "request_abandoned")
        return "the caller left after " + text_of(line, "after_ms") + " ms";
    if (line.contains("status"))
        return event + " with " + text_of(line, "status");
    return event + " after " + text_of(line, "took_ms") + " of " +
           text_of(line, "target_ms") + " ms, " + text_of(line, "attempts") +
           " attempts, " + text_of(line, "repeats") + " of them repeats";
}

} // namespace

log_explainer::log_explainer(std::string request)
    : request_(std::move(request))
{
}

void log_explainer::read(std::istream& log)
{
    for (std::string line; std::getline(log, line);)
        take(line);
}

std::string log_explainer::text() const
{
    auto lines = lines_;
    std::stable_sort(
        lines.begin(), lines.end(),
        [](const log_line& a, const log_line& b)
        { return a.time_ms < b.time_ms; });
    std::ostringstream made;
    std::string cause;
    for (const auto& it : lines)
    {
        made << it.time_ms << ' ' << it.instance << ": " << it.sentence << '\n';
        if (!it.cause.empty())
            cause = it.cause;
    }
    if (cause.empty())
        cause = "no line tells its end: it was one of the usual ones, of which "
                "only a sample is logged, or it reached no instance";
    made << "cause: " << cause << '\n';
    if (store_losses_ > 0)
        made << "note: " << store_losses_
             << " lines say that the store was out of reach\n";
    return made.str();
}

void log_explainer::take(std::string_view text)
{
    // Tools that collect logs put words before the object.
    const auto brace = text.find('{');
    if (brace == std::string_view::npos)
        return;
    const auto line = json::parse(text.substr(brace), nullptr, false);
    if (!line.is_object() || !line.contains("name"))
        return;
    const auto event = text_of(line, "name");
    if (event == "store_lost")
        ++store_losses_;
    if (text_of(line, "request") != request_)
        return;
    log_line made;
    made.time_ms = line.value("time_ms", 0LL);
    made.instance = text_of(line, "instance");
    made.event = event;
    made.sentence = sentence_of(event, line);
    if (event == "request_answered")
        made.cause = cause_of_answer(line);
    else if (event == "request_failed" || event == "request_refused")
        made.cause = cause_of_failure(line);
    else if (event == "request_abandoned")
        made.cause = "its caller left before the answer";
    lines_.push_back(std::move(made));
}

} // namespace turmericlane
