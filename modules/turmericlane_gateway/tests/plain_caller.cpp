#include "plain_caller.h"

#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <array>

#include <poll.h>

namespace turmericlane::tests
{

namespace
{

constexpr int receive_buffer_bytes = 4096;
constexpr int give_up_ms = 20000;

std::array<char, 4096>& read_buffer()
{
    static std::array<char, 4096> buffer;
    return buffer;
}

} // namespace

plain_caller::plain_caller(std::uint16_t port)
    : socket_(loop_)
{
    socket_.open(tcp::v4());
    socket_.set_option(
        boost::asio::socket_base::receive_buffer_size(receive_buffer_bytes));
    socket_.connect({boost::asio::ip::make_address(own_address()), port});
}

void plain_caller::send(std::string_view bytes)
{
    socket_.non_blocking(false);
    boost::system::error_code ec;
    boost::asio::write(
        socket_, boost::asio::buffer(bytes.data(), bytes.size()), ec);
}

void plain_caller::shut_down_sending()
{
    socket_.shutdown(tcp_socket::shutdown_send);
}

void plain_caller::read_available()
{
    socket_.non_blocking(true);
    boost::system::error_code ec;
    while (!has_ended && !ec)
    {
        const auto n =
            socket_.read_some(boost::asio::buffer(read_buffer()), ec);
        on_read(n, ec);
    }
}

void plain_caller::read_to_end()
{
    read_available();
    while (!has_ended)
    {
        pollfd readable{socket_.native_handle(), POLLIN, 0};
        REQUIRE(::poll(&readable, 1, give_up_ms) > 0);
        read_available();
    }
}

bool plain_caller::has_answer(std::size_t body_bytes) const
{
    const auto body = received.find("\r\n\r\n");
    return body != std::string::npos &&
           received.size() - body - 4 == body_bytes &&
           received.find("Content-Length: " + std::to_string(body_bytes)) <
               body;
}

void plain_caller::on_read(std::size_t size, boost::system::error_code ec)
{
    received.append(read_buffer().data(), size);
    if (!ec || ec == boost::asio::error::would_block)
        return;
    has_ended = true;
    was_reset = ec != boost::asio::error::eof;
}

} // namespace turmericlane::tests
