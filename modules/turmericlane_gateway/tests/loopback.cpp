#include "loopback.h"

#include <unistd.h>

namespace turmericlane::tests
{

namespace
{

constexpr auto condition_timeout = std::chrono::seconds(20);
constexpr std::uint16_t first_port = 20000;
/** Smallest second byte of the addresses, which keeps 127.0.0.1 out. */
constexpr unsigned first_second_byte = 128;
/** Process ids on Linux have 22 bits. */
constexpr unsigned process_id_mask = (1u << 22) - 1;

} // namespace

protocol_names test_names()
{
    protocol_names names;
    names.request_id = "X-Id";
    names.time_left = "X-Left";
    names.expected_searcher = "X-Expect";
    names.signature = "X-Signature";
    names.not_run = "X-Not-Run";
    names.load = "X-Load";
    names.warm_up = "X-Warm-Up";
    names.leaving = "X-Leaving";
    names.retry_after = "Retry-After";
    names.part_signatures = "X-Parts";
    names.missing_parts = "X-Missing";
    return names;
}

const std::string& own_address()
{
    static const auto address = []
    {
        const auto id = static_cast<unsigned>(::getpid()) & process_id_mask;
        return "127." + std::to_string(first_second_byte + (id >> 16)) + "." +
               std::to_string((id >> 8) & 0xff) + "." +
               std::to_string(id & 0xff);
    }();
    return address;
}

std::uint16_t next_port()
{
    static std::uint16_t port = first_port;
    return port++;
}

bool run_until(event_context& loop, const std::function<bool()>& condition)
{
    const auto give_up_time =
        std::chrono::steady_clock::now() + condition_timeout;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > give_up_time)
            return false;
        loop.restart();
        loop.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
}

standin_searcher::standin_searcher(
    event_context& loop,
    const clock& time,
    std::string id,
    script answer_script)
    : id_(std::move(id))
    , script_(std::move(answer_script))
    , port_(next_port())
    , listener_(loop, *this, time)
{
    listener_.listen(own_address(), port_);
}

searcher_entry make_standin_entry(
    const std::string& id, const std::string& service, std::uint16_t port)
{
    searcher_entry entry;
    entry.id = id;
    entry.service = service;
    entry.address = own_address();
    entry.port = port;
    entry.data_centre = "north";
    entry.slots = 3;
    return entry;
}

searcher_entry standin_searcher::entry(const std::string& service) const
{
    return make_standin_entry(id_, service, port_);
}

void standin_searcher::stop()
{
    listener_.stop();
    listener_.close_idle();
}

void standin_searcher::on_request(
    const std::shared_ptr<caller_session>& session, caller_request&& request)
{
    requests.push_back(request);
    script_(session, request);
}

void standin_searcher::on_caller_left(caller_session&)
{
    ++disconnect_count;
}

void standin_searcher::on_bad_request(unsigned) {}

const caller_limits& standin_searcher::limits() const
{
    return limits_;
}

bool standin_searcher::is_closing() const
{
    return false;
}

standin_searcher::script signed_answer(std::string signature, std::string body)
{
    return [signature = std::move(signature), body = std::move(body)](
               const std::shared_ptr<caller_session>& session,
               const caller_request& request)
    {
        std::string fields;
        append_field(fields, "X-Signature", signature);
        append_field(fields, "X-Id", field(request.fields, "X-Id"));
        append_field(fields, "X-Load", "1,0,3");
        session->respond(200, fields, body);
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
    disconnect();
}

void standin_caller::send(std::string request)
{
    response.reset();
    unsent_request_ = std::move(request);
    if (connection_->is_idle())
        connection_->send(std::move(unsent_request_), true);
}

void standin_caller::disconnect()
{
    connection_->close();
}

void standin_caller::on_open(client_connection& connection)
{
    if (!unsent_request_.empty())
        connection.send(std::move(unsent_request_), true);
}

void standin_caller::on_response(
    client_connection&, server_response&& new_response)
{
    response = std::move(new_response);
}

void standin_caller::on_end(client_connection&, connection_end)
{
    has_ended = true;
}

} // namespace turmericlane::tests
