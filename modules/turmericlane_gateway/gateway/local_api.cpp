#include "local_api.h"

namespace turmericlane
{

local_api::local_api(
    event_context& loop,
    const clock& time,
    caller_resources resources,
    request_function function)
    : function_(std::move(function))
    , listener_(loop, *this, time, std::move(resources))
{
}

std::optional<std::string>
local_api::listen(const std::string& address, std::uint16_t port)
{
    return listener_.listen(address, port);
}

void local_api::sweep()
{
    listener_.sweep();
}

void local_api::on_request(
    const std::shared_ptr<caller_session>& session, caller_request&& request)
{
    const auto answer = function_(request);
    std::string fields;
    if (!answer.content_type.empty())
        append_field(fields, "Content-Type", answer.content_type);
    session->respond(answer.status, fields, answer.body);
}

void local_api::on_caller_left(caller_session&) {}

void local_api::on_bad_request(unsigned) {}

const caller_limits& local_api::limits() const
{
    return limits_;
}

bool local_api::is_closing() const
{
    return false;
}

} // namespace turmericlane
