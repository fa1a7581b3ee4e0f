#include "peer_server.h"

#include <boost/asio/post.hpp>

namespace turmericlane
{

namespace
{

// While the process is out of descriptors each accept fails at once; without a
// delay the retries would keep the thread busy.
constexpr std::chrono::milliseconds accept_retry_delay{100};

} // namespace

peer_server::peer_server(io_threads& threads, connection_handler handler)
    : threads_(threads)
    , connection_handler_(std::move(handler))
    , acceptor_(threads.first_context())
    , retry_timer_(threads.first_context())
{
}

std::optional<std::string> peer_server::start(const peer_address& address)
{
    boost::system::error_code ec;
    auto ip_address = boost::asio::ip::make_address(address.host, ec);
    if (ec)
        return "not a numeric address: " + address.host;
    tcp::endpoint endpoint(ip_address, address.port);
    acceptor_.open(endpoint.protocol(), ec);
    if (!ec)
        acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        acceptor_.bind(endpoint, ec);
    if (!ec)
        acceptor_.listen(boost::asio::socket_base::max_listen_connections, ec);
    if (ec)
        return "cannot listen on " + address.host + " port " +
               std::to_string(address.port) + ": " + ec.message();
    port_ = acceptor_.local_endpoint(ec).port();
    accept();
    return std::nullopt;
}

void peer_server::stop()
{
    boost::asio::post(
        threads_.first_context(),
        [self = shared_from_this()]
        {
            boost::system::error_code ignored_ec;
            self->acceptor_.close(ignored_ec);
            self->retry_timer_.cancel();
        });
}

std::uint16_t peer_server::port() const noexcept
{
    return port_;
}

void peer_server::accept()
{
    acceptor_.async_accept(
        threads_.next_context(),
        [self = shared_from_this()](
            boost::system::error_code ec, tcp::socket socket)
        {
            if (!self->acceptor_.is_open())
                return;
            if (ec)
                return self->schedule_accept_retry();
            self->connection_handler_(std::move(socket));
            self->accept();
        });
}

void peer_server::schedule_accept_retry()
{
    retry_timer_.expires_after(accept_retry_delay);
    retry_timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code ec)
        {
            if (!ec && self->acceptor_.is_open())
                self->accept();
        });
}

} // namespace turmericlane
