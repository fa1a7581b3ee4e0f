#pragma once

#include "http_server.h"

#include <deque>

namespace turmericlane::standins
{

/** Stand-in for the platform's list of instances: GET /v1/instances answers
    with the list as it was some time ago.

    Test side: PUT /control/instances, body array: sets the list.
    All on the thread of the I/O context.
*/
class instance_list
{
public:
    /** Prepares the port; open starts it.
        @param lag  age of the list that is answered */
    instance_list(
        boost::asio::io_context& context,
        std::uint16_t port,
        std::chrono::milliseconds lag);

    /** Starts to accept. Throws boost::system::system_error if the port is
        taken. */
    void open();

private:
    using clock = std::chrono::steady_clock;

    /** A list and when it was set. */
    struct version
    {
        clock::time_point set_at;
        std::string text;
    };

    void handle(const std::shared_ptr<http_session>& session);
    void set(const std::shared_ptr<http_session>& session);

    std::chrono::milliseconds lag_;
    /** Ascending by time; the first is the one that is answered. */
    std::deque<version> versions_;
    http_server server_;
};

} // namespace turmericlane::standins
