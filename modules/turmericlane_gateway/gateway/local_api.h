#pragma once

#include "../http/http_listener.h"

#include <functional>

namespace turmericlane
{

/** Answer to a request that a local_api serves. */
struct api_answer
{
    unsigned status = 200;
    std::string content_type;
    std::string body;
};

/** HTTP server for requests that this instance answers itself, such as those
    for addresses, readiness and metrics.

    @see gateway
*/
class local_api : public session_handler
{
public:
    /** Returns the answer to a request; it is called in the event loop. */
    using request_function = std::function<api_answer(const caller_request&)>;

    /** All references must outlive the API.
        @param function  answers the requests */
    local_api(
        event_context& loop,
        const clock& time,
        caller_resources resources,
        request_function function);

    /** Starts to accept connections.
        @returns nothing on success, otherwise the reason for the failure */
    std::optional<std::string>
    listen(const std::string& address, std::uint16_t port);

    /** Applies the time limits of the sessions. To be called every few hundred
        milliseconds. */
    void sweep();

private:
    void on_request(
        const std::shared_ptr<caller_session>& session,
        caller_request&& request) override;
    void on_caller_left(caller_session& session) override;
    void on_bad_request(unsigned status) override;
    const caller_limits& limits() const override;
    bool is_closing() const override;

    request_function function_;
    caller_limits limits_;
    http_listener listener_;
};

} // namespace turmericlane
