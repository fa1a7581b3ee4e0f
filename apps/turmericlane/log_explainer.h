#pragma once

#include <iosfwd>
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

    /** Returns a report: the lines in order of time, and the cause in words. */
    std::string text() const;

private:
    struct log_line
    {
        long long time_ms = 0;
        std::string instance;
        std::string event;
        std::string sentence;
        /** Empty unless the line records the end of the request. */
        std::string cause;
    };

    void add_line(std::string_view text);

    std::string request_id_;
    std::vector<log_line> lines_;
    std::size_t store_lost_count_ = 0;
};

} // namespace turmericlane
