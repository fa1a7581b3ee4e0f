#include "feed_puller.h"

#include "feed_body.h"

#include <cassert>
#include <charconv>

namespace turmericlane
{

namespace
{

/** Peers answer from memory; one that takes longer has failed. */
constexpr auto pull_timeout = std::chrono::milliseconds(700);

constexpr unsigned ok_status = 200;

template <class Number>
std::optional<Number> parse_number(std::string_view text)
{
    Number number = 0;
    const auto* const end = text.data() + text.size();
    const auto [position, ec] = std::from_chars(text.data(), end, number);
    if (ec != std::errc() || position != end)
        return std::nullopt;
    return number;
}

} // namespace

std::string to_parameter(const store_era& era)
{
    return std::to_string(era.reported) + "." + std::to_string(era.inferred);
}

std::optional<store_era> parse_era_parameter(std::string_view text)
{
    const auto point = text.find('.');
    if (point == std::string_view::npos)
        return std::nullopt;
    const auto reported = parse_number<std::uint64_t>(text.substr(0, point));
    const auto inferred = parse_number<std::uint32_t>(text.substr(point + 1));
    if (!reported || !inferred)
        return std::nullopt;
    return store_era{*reported, *inferred};
}

feed_puller::feed_puller(event_context& loop, pull_listener& listener)
    : loop_(loop)
    , listener_(listener)
    , timer_(loop.get_executor())
{
}

feed_puller::~feed_puller()
{
    close_connection();
}

void feed_puller::pull(const endpoint& peer, const store_position& held)
{
    assert(!connection_);
    request_text_ = "GET " + std::string(feed_path) +
                    "?after=" + std::to_string(held.revision) +
                    "&era=" + to_parameter(held.era) + " HTTP/1.1\r\n";
    append_field(request_text_, "Host", peer.address);
    append_field(request_text_, "Connection", "close");
    request_text_ += "\r\n";
    timer_.expires_after(pull_timeout);
    timer_.async_wait(
        [this](boost::system::error_code ec)
        {
            if (!ec)
                fail();
        });
    connection_ = std::make_shared<client_connection>(
        loop_, static_cast<client_listener&>(*this));
    connection_->open(peer.address, peer.peer_port);
}

void feed_puller::fail()
{
    if (!connection_)
        return;
    close_connection();
    listener_.pull_failed();
}

void feed_puller::close_connection()
{
    timer_.cancel();
    if (connection_)
        connection_->close();
    connection_.reset();
}

void feed_puller::on_open(client_connection& connection)
{
    connection.send(std::move(request_text_), true);
}

void feed_puller::on_response(client_connection&, server_response&& response)
{
    const auto payload = response.status == ok_status
                             ? decompress_body(response.body)
                             : std::nullopt;
    const auto message =
        payload ? decode_message<feed_message>(*payload) : std::nullopt;
    if (!message)
    {
        fail();
        return;
    }
    close_connection();
    listener_.pull_succeeded(message->body);
}

void feed_puller::on_end(client_connection&, connection_end)
{
    fail();
}

} // namespace turmericlane
