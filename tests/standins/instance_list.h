#pragma once

#include "http_server.h"

#include <deque>

namespace turmericlane::standins
{

/** Stand-in for the platform's list of instances: GET /v1/instances replies
    with the list as it was some time ago.

    Control interface for tests: PUT /control/instances with an array as body
    sets the list.

    To be used on the thread of the I/O context only.
*/
class instance_list
{
public:
    /** Prepares the port; open starts it. The context must outlive the list.
        @param lag  age of the list in a reply; not negative */
    instance_list(
        boost::asio::io_context& context,
        std::uint16_t port,
        std::chrono::milliseconds lag);

    /** Starts to accept connections. Throws boost::system::system_error if the
        port is in use. */
    void open();

private:
    using clock = std::chrono::steady_clock;

    /** A list and the time at which it was set. */
    struct version
    {
        clock::time_point set_time;
        std::string text;
    };

    void handle(const std::shared_ptr<http_session>& session);
    void set_list(const std::shared_ptr<http_session>& session);

    std::chrono::milliseconds lag_;
    /** Ascending by time; the first is the one in the last reply, or older. */
    std::deque<version> versions_;
    http_server server_;
};

} // namespace turmericlane::standins
