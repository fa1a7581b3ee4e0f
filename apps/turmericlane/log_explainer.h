#pragma once

#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericlane
{

/** Finds the lines of one request in the logs of all instances and explains in
    words what happened to it.

    A log of the gateway has one JSON object per line. Lines without one, and
    lines of other requests, are skipped.

    @see json_log
*/
class log_explainer
{
public:
    /** @param request_id  id of the request, as its caller sent it */
    explicit log_explainer(std::string request_id);

    /** Reads the lines of one or several instances. */
    void read(std::istream& log);

    /** Returns the number of lines read that name the request. */
    std::size_t line_count() const noexcept
    {
        return lines_.size();
    }

    /** Returns a report: the lines in order of time, and the cause in words. It
        says if the instance of a line did not follow the store at that time;
        the lines of an instance must have been read in order for that. */
    std::string text() const;

    /** Returns a line for each instance that got a termination signal and has
        no line of its end: a request that such an instance had may have no line
        at all. The lines of an instance must have been read in order. */
    std::string stop_notes() const;

private:
    struct log_line
    {
        long long time_ms = 0;
        std::string instance;
        std::string event;
        std::string sentence;
        /** Empty unless the line records the end of the request. */
        std::string cause;
        /** Empty unless the line says what was open at the end of a planned
            stop. */
        std::string stop_cause;
        /** Empty unless the line says how the caller's connection ended. */
        std::string connection_cause;
    };

    /** Steps of a planned stop of an instance. */
    struct stop_steps
    {
        /** It got a termination signal and has not ended yet. */
        bool is_open = false;
        /** It started again although its stop had not ended. */
        bool was_cut = false;
    };

    /** Time during which an instance did not follow the store. */
    struct unfollowed_span
    {
        long long start_ms = 0;
        /** std::nullopt while it lasts. */
        std::optional<long long> end_ms;
        std::string cause;
    };

    void add_line(std::string_view text);
    void track_following(
        const std::string& event,
        const std::string& instance,
        const unfollowed_span& span);
    std::string follow_notes(const std::vector<log_line>& lines) const;
    void track_stop(const std::string& event, const std::string& instance);
    static std::string find_cause(const std::vector<log_line>& lines);

    std::string request_id_;
    std::vector<log_line> lines_;
    std::size_t store_lost_count_ = 0;
    std::map<std::string, stop_steps> stops_;
    std::map<std::string, std::vector<unfollowed_span>> unfollowed_;
};

} // namespace turmericlane
