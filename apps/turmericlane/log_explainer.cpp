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

std::string field_text(const json& line, const char* name)
{
    const auto field = line.find(name);
    if (field == line.end())
        return "?";
    return field->is_string() ? field->get<std::string>() : field->dump();
}

std::string describe_attempt_failure(const std::string& failure)
{
    if (failure == "server_error")
        return "the searcher replied with a server error";
    if (failure == "rejected")
        return "the searcher was full and did not run it";
    if (failure == "misdirected")
        return "the address now belongs to another searcher";
    if (failure == "not_sent")
        return "the searcher could not be reached";
    if (failure == "turned_away")
        return "the searcher has too many connections";
    if (failure == "unacknowledged")
        return "the searcher's host acknowledged no data: it is down or "
               "unreachable";
    if (failure == "broken")
        return "no valid reply arrived; it may have run";
    return failure;
}

std::string describe_failure(const json& line)
{
    auto cause = field_text(line, "why");
    const auto missing_parts = field_text(line, "missing_parts");
    if (cause == "overloaded")
        return "refused before anything was sent: the work already waiting "
               "would "
               "have made it late (event loop lag " +
               field_text(line, "lag_ms") + " ms)";
    if (cause == "no_searcher")
        return "refused before anything was sent: too few of its services have "
               "a searcher that is known, reachable and wants requests";
    if (cause == "leaving")
        return "refused before anything was sent: the instance was shutting "
               "down";
    if (cause == "stopping")
        return "the instance was shutting down and would not have finished, or "
               "did not finish, it";
    if (cause == "no_state")
        return "refused before anything was sent: the instance had not read "
               "the configuration and the list of searchers yet";
    if (cause == "no_route")
        return "refused: no route of version " + field_text(line, "version") +
               " matches its host and path";
    if (cause == "no_request_id")
        return "refused: it has no request id";
    if (cause == "searchers_full")
        return "not run: no searcher accepted it (" + missing_parts + ")";
    if (cause == "attempts_failed")
        return "all attempts that the route and the budget allow failed (" +
               missing_parts + ")";
    if (cause == "deadline")
        return "too few replies had arrived by the deadline (" + missing_parts +
               ")";
    return cause;
}

std::string describe_answer(const json& line)
{
    const auto missing_count = field_text(line, "missing");
    const auto is_late = line.value("took_ms", 0) > line.value("target_ms", 0);
    std::string description = is_late ? "answered late" : "answered in time";
    if (missing_count != "0")
        description += ", without " + missing_count + " parts (" +
                       field_text(line, "missing_parts") + ")";
    return description;
}

std::string describe_event(const std::string& event, const json& line)
{
    if (event == "attempt_failed")
        return "attempt at " + field_text(line, "searcher") + " of " +
               field_text(line, "service") + ": " +
               describe_attempt_failure(field_text(line, "how"));
    if (event == "attempt_repeated")
        return std::string(line.value("hedge", false) ? "hedge" : "retry") +
               " for " + field_text(line, "service");
    if (event == "request_abandoned")
        return "the caller disconnected after " + field_text(line, "after_ms") +
               " ms";
    if (line.contains("status"))
        return event + " with " + field_text(line, "status");
    return event + " after " + field_text(line, "took_ms") + " of " +
           field_text(line, "target_ms") + " ms, " +
           field_text(line, "attempts") + " attempts, " +
           field_text(line, "repeats") + " of them extra";
}

} // namespace

log_explainer::log_explainer(std::string request_id)
    : request_id_(std::move(request_id))
{
}

void log_explainer::read(std::istream& log)
{
    for (std::string line; std::getline(log, line);)
        add_line(line);
}

std::string log_explainer::text() const
{
    auto lines = lines_;
    std::stable_sort(
        lines.begin(), lines.end(),
        [](const log_line& a, const log_line& b)
        { return a.time_ms < b.time_ms; });
    std::ostringstream report;
    std::string cause;
    for (const auto& it : lines)
    {
        report << it.time_ms << ' ' << it.instance << ": " << it.sentence
               << '\n';
        if (!it.cause.empty())
            cause = it.cause;
    }
    if (cause.empty())
        cause = "no line records its end: it ended normally, which is logged "
                "for only a sample of requests, or it reached no instance";
    report << "cause: " << cause << '\n';
    if (store_lost_count_ > 0)
        report << "note: " << store_lost_count_
               << " lines report that the store was unreachable\n";
    return report.str();
}

void log_explainer::add_line(std::string_view text)
{
    // Log collectors prefix the JSON object with text of their own.
    const auto brace = text.find('{');
    if (brace == std::string_view::npos)
        return;
    const auto line = json::parse(text.substr(brace), nullptr, false);
    if (!line.is_object() || !line.contains("name"))
        return;
    const auto event = field_text(line, "name");
    if (event == "store_lost")
        ++store_lost_count_;
    if (field_text(line, "request") != request_id_)
        return;
    log_line entry;
    entry.time_ms = line.value("time_ms", 0LL);
    entry.instance = field_text(line, "instance");
    entry.event = event;
    entry.sentence = describe_event(event, line);
    if (event == "request_answered")
        entry.cause = describe_answer(line);
    else if (event == "request_failed" || event == "request_refused")
        entry.cause = describe_failure(line);
    else if (event == "request_abandoned")
        entry.cause = "the caller disconnected before the answer";
    lines_.push_back(std::move(entry));
}

} // namespace turmericlane
