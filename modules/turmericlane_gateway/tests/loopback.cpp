#include "loopback.h"

#include <unistd.h>

namespace turmericlane::tests
{

namespace
{

constexpr auto patience = std::chrono::seconds(20);
constexpr std::uint16_t first_port = 20000;
/** First number of the second part of the addresses; 127.0.0.1 is outside. */
constexpr unsigned first_network = 128;
/** Process ids on Linux have 22 bits. */
constexpr unsigned process_id_mask = (1u << 22) - 1;

} // namespace

protocol_names test_names()
{
    protocol_names made;
    made.request_id = "X-Id";
    made.time_left = "X-Left";
    made.expected_searcher = "X-Expect";
    made.signature = "X-Signature";
    made.not_run = "X-Not-Run";
    made.load = "X-Load";
    made.part_signatures = "X-Parts";
    made.missing_parts = "X-Missing";
    return made;
}

const std::string& own_address()
{
    static const auto made = []
    {
        const auto id = static_cast<unsigned>(::getpid()) & process_id_mask;
        return "127." + std::to_string(first_network + (id >> 16)) + "." +
               std::to_string((id >> 8) & 0xff) + "." +
               std::to_string(id & 0xff);
    }();
    return made;
}

std::uint16_t next_port()
{
    static std::uint16_t next = first_port;
    return next++;
}

bool run_until(event_context& loop, const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + patience;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > end)
            return false;
        loop.restart();
        loop.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
}

standin_searcher::standin_searcher(
    event_context& loop, const clock& time, std::string id, script how)
    : id_(std::move(id))
    , script_(std::move(how))
    , port_(next_port())
    , listener_(loop, *this, time)
{
    listener_.listen(own_address(), port_);
}

searcher_entry standin_searcher::entry(const std::string& service) const
{
    searcher_entry made;
    made.id = id_;
    made.service = service;
    made.address = own_address();
    made.port = port_;
    made.data_centre = "north";
    made.slots = 3;
    return made;
}

void standin_searcher::stop()
{
    listener_.stop();
    listener_.close_idle();
}

void standin_searcher::on_request(
    const std::shared_ptr<caller_session>& from, caller_request&& request)
{
    requests.push_back(request);
    script_(from, request);
}

void standin_searcher::on_caller_left(caller_session&)
{
    ++callers_left;
}

void standin_searcher::on_bad_request(unsigned) {}

const caller_limits& standin_searcher::limits() const
{
    return limits_;
}

bool standin_searcher::closing() const
{
    return false;
}

standin_searcher::script signed_answer(std::string signature, std::string body)
{
    return [signature = std::move(signature), body = std::move(body)](
               const std::shared_ptr<caller_session>& to,
               const caller_request& request)
    {
        std::string fields;
        append_field(fields, "X-Signature", signature);
        append_field(fields, "X-Id", field(request.fields, "X-Id"));
        append_field(fields, "X-Load", "1,0,3");
        to->respond(200, fields, body);
    };
}

standin_caller::standin_caller(event_context& loop, std::uint16_t port)
    : connection_(std::make_shared<client_connection>(
          loop, static_cast<client_listener&>(*this)))
{
    connection_->open(own_address(), port);
}

standin_caller::~standin_caller()
{
    leave();
}

void standin_caller::send(std::string text)
{
    response.reset();
    text_ = std::move(text);
    if (connection_->idle())
        connection_->send(std::move(text_), true);
}

void standin_caller::leave()
{
    connection_->close();
}

void standin_caller::on_open(client_connection& from)
{
    if (!text_.empty())
        from.send(std::move(text_), true);
}

void standin_caller::on_response(client_connection&, server_response&& got)
{
    response = std::move(got);
}

void standin_caller::on_end(client_connection&, connection_end)
{
    ended = true;
}

} // namespace turmericlane::tests
