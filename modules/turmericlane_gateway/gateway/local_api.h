#pragma once

#include "../http/http_listener.h"

#include <functional>

namespace turmericlane
{

/** An answer of a local_api. */
struct api_answer
{
    unsigned status = 200;
    std::string content_type;
    std::string body;
};

/** Serves requests that this instance answers by itself, such as those for
    addresses, readiness and metrics.

    @see gateway
*/
class local_api : public session_handler
{
public:
    /** Answers a request; it runs in the event loop. */
    using function = std::function<api_answer(const caller_request&)>;

    /** All references must outlive the API. */
    local_api(event_context& loop, const clock& time, function answer);

    /** Starts to accept.
        @returns nothing on success, otherwise the reason */
    std::optional<std::string>
    listen(const std::string& address, std::uint16_t port);

    /** Applies time limits to its sessions. */
    void sweep();

private:
    void on_request(
        const std::shared_ptr<caller_session>& from,
        caller_request&& request) override;
    void on_caller_left(caller_session& from) override;
    void on_bad_request(unsigned status) override;
    const caller_limits& limits() const override;
    bool closing() const override;

    function answer_;
    caller_limits limits_;
    http_listener listener_;
};

} // namespace turmericlane
