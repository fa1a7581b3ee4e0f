#include "http_server.h"

#include <algorithm>
#include <cassert>

namespace turmericlane::standins
{

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

http_server::http_server(
    asio::io_context& context,
    tcp::endpoint endpoint,
    options limits,
    http_session::handler request_handler)
    : context_(context)
    , endpoint_(std::move(endpoint))
    , acceptor_(context)
    , limits_(limits)
    , handler_(std::move(request_handler))
    , counts_(std::make_shared<connection_counts>())
{
    assert(handler_);
}

void http_server::open()
{
    if (acceptor_.is_open())
        return;
    acceptor_.open(endpoint_.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint_);
    acceptor_.listen();
    accept();
}

void http_server::close()
{
    error_code ec;
    acceptor_.close(ec);
    for (const auto& it : sessions_)
        if (auto session = it.lock())
            session->drop();
    sessions_.clear();
}

const connection_counts& http_server::counts() const noexcept
{
    return *counts_;
}

void http_server::accept()
{
    acceptor_.async_accept(
        context_,
        [this](error_code ec, tcp::socket socket)
        {
            if (ec == asio::error::operation_aborted || !acceptor_.is_open())
                return;
            if (!ec)
                add_session(std::move(socket));
            accept();
        });
}

void http_server::add_session(tcp::socket socket)
{
    if (limits_.connection_limit > 0 &&
        counts_->open >= limits_.connection_limit)
    {
        ++counts_->over_limit;
        error_code ec;
        // Without lingering, closing resets the connection, so that the client
        // sees a refusal and not an empty reply.
        socket.set_option(asio::socket_base::linger(true, 0), ec);
        socket.close(ec);
        return;
    }
    ++counts_->open;
    counts_->peak = std::max(counts_->peak, counts_->open);
    auto session = std::make_shared<http_session>(
        std::move(socket), limits_.connect_cost, handler_, counts_);
    std::erase_if(sessions_, [](const auto& it) { return it.expired(); });
    sessions_.push_back(session);
    session->start();
}

} // namespace turmericlane::standins
