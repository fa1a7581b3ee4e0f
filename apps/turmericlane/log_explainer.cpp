#include "log_explainer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <istream>
#include <set>
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

/** Returns what was open at the end of a planned stop, and why. */
std::string describe_open_request(const json& line)
{
    const auto read_ms = line.value("read_after_signal_ms", 0LL);
    const auto searchers = field_text(line, "searchers");
    std::string text = "still open at the end of a planned stop, " +
                       field_text(line, "since_signal_ms") +
                       " ms after the signal; read " +
                       std::to_string(std::abs(read_ms)) + " ms " +
                       (read_ms < 0 ? "before" : "after") + " the signal, ";
    if (searchers == "silent")
        text += "its searcher was silent";
    else if (searchers == "at_work")
        text += "its searcher was at work";
    else
        text += "no searcher had it";
    return text + " (" + field_text(line, "open_parts") + ")";
}

std::string describe_connection_end(const std::string& cause)
{
    if (cause == "caller_closed")
        return "the caller closed its connection";
    if (cause == "caller_reset")
        return "the caller reset its connection";
    if (cause == "caller_lost")
        return "the caller's host could not be reached";
    if (cause == "write_error")
        return "writing to the caller failed";
    if (cause == "write_timeout")
        return "the caller had not read its answer in time";
    if (cause == "discard_timeout" || cause == "idle_timeout")
        return "the connection was closed after its timeout";
    if (cause == "closed_idle")
        return "the instance closed the idle connection for its shutdown";
    if (cause == "process_end")
        return "the process ended";
    return cause;
}

/** Returns what the caller got of the answer when its connection ended. */
std::string describe_cut_connection(const json& line)
{
    const auto end = describe_connection_end(field_text(line, "cause"));
    const auto state = field_text(line, "state");
    if (state == "handling")
        return end + " before an answer was written";
    if (state == "writing")
        return end + " while the answer was being written: " +
               field_text(line, "written_bytes") + " bytes were, " +
               field_text(line, "unwritten_bytes") + " were not";
    std::string text = "an answer of " + field_text(line, "written_bytes") +
                       " bytes was written, but " + end + " with ";
    if (line.value("unread_bytes", 0LL) == 0)
        return text + field_text(line, "unacknowledged_bytes") +
               " bytes that the caller's host had not acknowledged";
    text += field_text(line, "unread_bytes") +
            " unread bytes of the caller, which resets the connection: ";
    return text + (state == "idle" ? "a further request is lost unread, and "
                                     "the answer may be lost"
                                   : "the answer may be lost");
}

std::string describe_follow_trouble(const std::string& cause)
{
    if (cause == "unconfirmed")
        return "neither the store nor a peer had confirmed its copy";
    if (cause == "history_lost")
        return "the store lacked the changes since the revision that it held";
    if (cause == "answer_behind")
        return "the store answered with revisions below the one that it held";
    if (cause == "answer_refused")
        return "it refused the store's answers, which were of an older era";
    return cause;
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
    if (event == "request_open")
        return describe_open_request(line);
    if (event == "connection_cut")
        return describe_cut_connection(line);
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
    for (const auto& it : lines)
        report << it.time_ms << ' ' << it.instance << ": " << it.sentence
               << '\n';
    report << "cause: " << find_cause(lines) << '\n';
    report << follow_notes(lines) << stop_notes();
    if (store_lost_count_ > 0)
        report << "note: " << store_lost_count_
               << " lines report that the store was unreachable\n";
    return report.str();
}

std::string
log_explainer::follow_notes(const std::vector<log_line>& lines) const
{
    std::ostringstream report;
    std::set<std::string> noted_instances;
    for (const auto& line : lines)
    {
        const auto spans = unfollowed_.find(line.instance);
        if (spans == unfollowed_.end() ||
            noted_instances.contains(line.instance))
            continue;
        const auto it = std::find_if(
            spans->second.begin(), spans->second.end(),
            [&](const unfollowed_span& span)
            {
                return span.start_ms <= line.time_ms &&
                       (!span.end_ms || line.time_ms < *span.end_ms);
            });
        if (it == spans->second.end())
            continue;
        noted_instances.insert(line.instance);
        report << "note: " << line.instance
               << " had not followed the store since " << it->start_ms << ", "
               << line.time_ms - it->start_ms << " ms before ("
               << describe_follow_trouble(it->cause)
               << "): it may have used an old configuration or searchers that "
                  "are gone\n";
    }
    return report.str();
}

std::string log_explainer::stop_notes() const
{
    std::ostringstream report;
    for (const auto& [instance, steps] : stops_)
    {
        if (steps.is_open || steps.was_cut)
            report << "note: " << instance
                   << " got a termination signal and no line records its end: "
                      "it was killed before, or still runs\n";
    }
    return report.str();
}

std::string log_explainer::find_cause(const std::vector<log_line>& lines)
{
    std::string cause;
    std::string stop_cause;
    std::string connection_cause;
    for (const auto& it : lines)
    {
        if (!it.cause.empty())
            cause = it.cause;
        if (!it.stop_cause.empty())
            stop_cause = it.stop_cause;
        if (!it.connection_cause.empty())
            connection_cause = it.connection_cause;
    }
    // The final line of a request that a stop has cut only says that it was
    // stopping.
    if (!stop_cause.empty())
        cause = stop_cause;
    if (cause.empty() && connection_cause.empty())
        return "no line records its end: it ended normally, which is logged "
               "for only a sample of requests, or it reached no instance";
    if (cause.empty() || connection_cause.empty())
        return cause + connection_cause;
    return cause + "; " + connection_cause;
}

void log_explainer::track_stop(
    const std::string& event, const std::string& instance)
{
    if (event != "termination_signal" && event != "stopped" &&
        event != "started")
        return;
    auto& steps = stops_[instance];
    if (event == "started")
        steps.was_cut = steps.was_cut || steps.is_open;
    steps.is_open = event == "termination_signal";
}

void log_explainer::track_following(
    const std::string& event,
    const std::string& instance,
    const unfollowed_span& span)
{
    auto& spans = unfollowed_[instance];
    const auto is_open = !spans.empty() && !spans.back().end_ms;
    if (event == "store_not_followed" && !is_open)
        spans.push_back(span);
    else if ((event == "store_followed" || event == "started") && is_open)
        spans.back().end_ms = span.end_ms;
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
    const auto time_ms = line.value("time_ms", 0LL);
    track_following(
        event, field_text(line, "instance"),
        event == "store_not_followed"
            ? unfollowed_span{time_ms - line.value("age_ms", 0LL), std::nullopt, field_text(line, "why")}
            : unfollowed_span{time_ms, time_ms, {}});
    if (!line.value("ignored", false))
        track_stop(event, field_text(line, "instance"));
    if (field_text(line, "request") != request_id_)
        return;
    log_line entry;
    entry.time_ms = time_ms;
    entry.instance = field_text(line, "instance");
    entry.event = event;
    entry.sentence = describe_event(event, line);
    if (event == "request_answered")
        entry.cause = describe_answer(line);
    else if (event == "request_failed" || event == "request_refused")
        entry.cause = describe_failure(line);
    else if (event == "request_abandoned")
        entry.cause = "the caller disconnected before the answer";
    else if (event == "request_open")
        entry.stop_cause = entry.sentence;
    else if (event == "connection_cut")
        entry.connection_cause = entry.sentence;
    lines_.push_back(std::move(entry));
}

} // namespace turmericlane
