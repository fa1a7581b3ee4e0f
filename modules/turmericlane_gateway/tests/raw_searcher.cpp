#include "raw_searcher.h"

#include <boost/asio/write.hpp>

#include <array>

namespace turmericlane::tests
{

raw_searcher::connection::connection(tcp_socket socket)
    : socket_(std::move(socket))
{
}

void raw_searcher::connection::write(const std::string& bytes)
{
    unwritten_ += bytes;
    write_next();
}

void raw_searcher::connection::write_without_end(const std::string& bytes)
{
    repeated_ = bytes;
    write(bytes);
}

void raw_searcher::connection::close_after_writing()
{
    closes_after_writing_ = true;
    write_next();
}

void raw_searcher::connection::write_next()
{
    if (is_writing_ || has_ended_)
        return;
    if (unwritten_.empty())
        unwritten_ = repeated_;
    if (unwritten_.empty())
    {
        if (closes_after_writing_)
        {
            boost::system::error_code ec;
            socket_.close(ec);
            has_ended_ = true;
        }
        return;
    }
    in_writing_ = std::exchange(unwritten_, {});
    is_writing_ = true;
    boost::asio::async_write(
        socket_, boost::asio::buffer(in_writing_),
        [self = shared_from_this()](boost::system::error_code ec, std::size_t)
        {
            self->is_writing_ = false;
            if (ec)
                self->has_ended_ = true;
            self->write_next();
        });
}

raw_searcher::raw_searcher(
    event_context& loop, std::string id, script answer_script)
    : id_(std::move(id))
    , script_(std::move(answer_script))
    , port_(next_port())
    , acceptor_(
          loop.get_executor(),
          {boost::asio::ip::make_address(own_address()), port_})
{
    accept();
}

searcher_entry raw_searcher::entry(const std::string& service) const
{
    return make_standin_entry(id_, service, port_);
}

void raw_searcher::accept()
{
    acceptor_.async_accept(
        [this](boost::system::error_code ec, tcp_socket socket)
        {
            if (ec)
                return;
            connections.push_back(
                std::make_shared<connection>(std::move(socket)));
            read(connections.back());
            accept();
        });
}

void raw_searcher::read(const std::shared_ptr<connection>& source)
{
    auto buf = std::make_shared<std::array<char, 4096>>();
    source->socket_.async_read_some(
        boost::asio::buffer(*buf),
        [this, source, buf](boost::system::error_code ec, std::size_t n)
        {
            if (ec)
            {
                source->has_ended_ = true;
                return;
            }
            source->received_.append(buf->data(), n);
            constexpr std::string_view head_end = "\r\n\r\n";
            for (;;)
            {
                const auto end = source->received_.find(head_end);
                if (end == std::string::npos)
                    break;
                const auto request =
                    source->received_.substr(0, end + head_end.size());
                source->received_.erase(0, request.size());
                ++source->request_count;
                script_(source, request);
            }
            read(source);
        });
}

std::string raw_answer(
    const std::string& signature,
    const std::string& request_id,
    const std::string& body,
    const std::string& extra_fields)
{
    std::string text = "HTTP/1.1 200 OK\r\n";
    append_field(text, "X-Signature", signature);
    if (!request_id.empty())
        append_field(text, "X-Id", request_id);
    append_field(text, "Content-Length", std::to_string(body.size()));
    return text + extra_fields + "\r\n" + body;
}

std::string raw_field(const std::string& request, const std::string& name)
{
    const auto start = request.find("\r\n" + name + ": ");
    if (start == std::string::npos)
        return {};
    const auto value = start + name.size() + 4;
    return request.substr(value, request.find('\r', value) - value);
}

std::string make_record(char fill)
{
    return std::string(record_bytes, fill);
}

std::string
own_answer(const std::string& request, const std::string& extra_fields)
{
    const auto id = raw_field(request, "X-Id");
    return raw_answer("sig." + id, id, "body of " + id, extra_fields);
}

std::string
rejection(const std::string& request, const std::string& extra_fields)
{
    return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Id: " +
           raw_field(request, "X-Id") + "\r\nContent-Length: 0\r\n" +
           extra_fields + "\r\n";
}

} // namespace turmericlane::tests
