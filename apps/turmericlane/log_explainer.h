#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace turmericlane
{

/** Finds the lines of one request in the logs of all instances and says in
   words what happened to it.

    The logs are those of the gateway: one JSON object a line. Lines that are
    none, or that belong to other requests, are passed over.

    @see json_log
*/
class log_explainer
{
public:
    /** @param request  id of the request, as its caller sent it */
    explicit log_explainer(std::string request);

    /** Reads the lines of one or several instances. */
    void read(std::istream& log);

    /** Lines that name the request. */
    std::size_t size() const noexcept
    {
        return lines_.size();
    }

    /** The lines in order of time, and the cause in words. */
    std::string text() const;

private:
    struct log_line
    {
        long long time_ms = 0;
        std::string instance;
        std::string event;
        std::string sentence;
        /** Set by the line about the request's end. */
        std::string cause;
    };

    void take(std::string_view line);

    std::string request_;
    std::vector<log_line> lines_;
    std::size_t store_losses_ = 0;
};

} // namespace turmericlane
