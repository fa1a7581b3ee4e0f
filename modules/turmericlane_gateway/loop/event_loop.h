#pragma once

#include <boost/asio/basic_datagram_socket.hpp>
#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <chrono>

namespace turmericlane
{

/** The event loop of a gateway. One thread runs it, so handlers need no locks.
    Sockets and timers use its concrete executor type, which avoids the cost of
    a polymorphic executor. */
using event_context = boost::asio::io_context;
using loop_executor = event_context::executor_type;
using tcp = boost::asio::ip::tcp;
using udp = boost::asio::ip::udp;
using tcp_socket = boost::asio::basic_stream_socket<tcp, loop_executor>;
using tcp_acceptor = boost::asio::basic_socket_acceptor<tcp, loop_executor>;
using udp_socket = boost::asio::basic_datagram_socket<udp, loop_executor>;
using loop_timer = boost::asio::basic_waitable_timer<
    std::chrono::steady_clock,
    boost::asio::wait_traits<std::chrono::steady_clock>,
    loop_executor>;

} // namespace turmericlane
