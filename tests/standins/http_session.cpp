#include "http_session.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <cassert>
#include <charconv>

namespace turmericlane::standins
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using error_code = boost::system::error_code;

http_session::http_session(
    tcp::socket socket,
    std::chrono::microseconds connect_cost,
    handler request_handler,
    std::shared_ptr<connection_counts> counts)
    : socket_(std::move(socket))
    , connect_timer_(socket_.get_executor())
    , handler_(std::move(request_handler))
    , counts_(std::move(counts))
    , connect_cost_(connect_cost)
{
    assert(handler_ && counts_);
}

http_session::~http_session()
{
    drop();
}

void http_session::start()
{
    error_code ec;
    socket_.set_option(tcp::no_delay(true), ec);
    read();
}

std::string_view http_session::method() const
{
    auto text = request_.method_string();
    return {text.data(), text.size()};
}

std::string_view http_session::path() const
{
    std::string_view target(request_.target().data(), request_.target().size());
    return target.substr(0, target.find('?'));
}

std::uint64_t http_session::parameter(
    std::string_view name, std::uint64_t default_value) const
{
    std::string_view rest(request_.target().data(), request_.target().size());
    auto position = rest.find('?');
    while (position != std::string_view::npos)
    {
        rest.remove_prefix(position + 1);
        position = rest.find('&');
        auto item = rest.substr(0, position);
        if (!item.starts_with(name) || item.substr(name.size(), 1) != "=")
            continue;
        item.remove_prefix(name.size() + 1);
        std::uint64_t value = default_value;
        std::from_chars(item.data(), item.data() + item.size(), value);
        return value;
    }
    return default_value;
}

std::string http_session::header(std::string_view name) const
{
    auto text = request_[boost::string_view(name.data(), name.size())];
    return {text.data(), text.size()};
}

const std::string& http_session::body() const
{
    return request_.body();
}

void http_session::reply(unsigned status, std::string body)
{
    if (is_closed_)
        return;
    assert(awaits_reply_);
    awaits_reply_ = false;
    ++generation_;
    response_ = {};
    response_.version(11);
    response_.result(status);
    response_.set(http::field::content_type, "application/json");
    response_.keep_alive(request_.keep_alive());
    response_.body() = std::move(body);
    response_.prepare_payload();
    http::async_write(
        socket_, response_,
        [self = shared_from_this()](error_code ec, std::size_t)
        {
            if (ec || !self->response_.keep_alive())
                self->drop();
            else
                self->read();
        });
}

void http_session::drop()
{
    if (is_closed_)
        return;
    is_closed_ = true;
    --counts_->open;
    error_code ec;
    connect_timer_.cancel();
    socket_.close(ec);
}

bool http_session::is_closed() const noexcept
{
    return is_closed_;
}

void http_session::read()
{
    request_ = {};
    http::async_read(
        socket_, buffer_, request_,
        [self = shared_from_this()](error_code ec, std::size_t)
        {
            if (ec)
                self->drop();
            else
                self->handle_request();
        });
}

void http_session::handle_request()
{
    ++generation_;
    if (connect_cost_ > std::chrono::microseconds::zero())
    {
        connect_timer_.expires_after(connect_cost_);
        connect_cost_ = std::chrono::microseconds::zero();
        connect_timer_.async_wait(
            [self = shared_from_this()](error_code ec)
            {
                if (!ec && !self->is_closed_)
                    self->handle_request();
            });
        return;
    }
    awaits_reply_ = true;
    watch_for_close();
    handler_(shared_from_this());
}

void http_session::watch_for_close()
{
    socket_.async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), generation = generation_](error_code ec)
        {
            if (ec || self->is_closed_ || self->generation_ != generation)
                return;
            char byte = 0;
            error_code peek_error;
            self->socket_.non_blocking(true, peek_error);
            self->socket_.receive(
                asio::buffer(&byte, 1), tcp::socket::message_peek, peek_error);
            if (peek_error && peek_error != asio::error::would_block)
                self->drop();
        });
}

} // namespace turmericlane::standins
