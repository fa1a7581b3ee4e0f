#include "peer_server.h"

#include <boost/asio/post.hpp>

namespace turmericlane
{

namespace
{

// An accept fails repeatedly while the process is out of descriptors; without a
// pause it would occupy the thread.
constexpr std::chrono::milliseconds accept_retry_pause{100};

} // namespace

peer_server::peer_server(io_threads& threads, accepted_handler accepted)
    : threads_(threads)
    , accepted_(std::move(accepted))
    , acceptor_(threads.first())
    , retry_timer_(threads.first())
{
}

std::optional<std::string> peer_server::start(const peer_address& at)
{
    boost::system::error_code ec;
    auto address = boost::asio::ip::make_address(at.host, ec);
    if (ec)
        return "not a numeric address: " + at.host;
    tcp::endpoint endpoint(address, at.port);
    acceptor_.open(endpoint.protocol(), ec);
    if (!ec)
        acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        acceptor_.bind(endpoint, ec);
    if (!ec)
        acceptor_.listen(boost::asio::socket_base::max_listen_connections, ec);
    if (ec)
        return "cannot listen on " + at.host + " port " +
               std::to_string(at.port) + ": " + ec.message();
    port_ = acceptor_.local_endpoint(ec).port();
    accept();
    return std::nullopt;
}

void peer_server::stop()
{
    boost::asio::post(
        threads_.first(),
        [self = shared_from_this()]
        {
            boost::system::error_code ignored;
            self->acceptor_.close(ignored);
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
        threads_.next(),
        [self = shared_from_this()](
            boost::system::error_code ec, tcp::socket socket)
        {
            if (!self->acceptor_.is_open())
                return;
            if (ec)
                return self->retry_later();
            self->accepted_(std::move(socket));
            self->accept();
        });
}

void peer_server::retry_later()
{
    retry_timer_.expires_after(accept_retry_pause);
    retry_timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code ec)
        {
            if (!ec && self->acceptor_.is_open())
                self->accept();
        });
}

} // namespace turmericlane
