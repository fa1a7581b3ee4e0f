#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <cstdlib>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace turmericlane
{

/** A backend server whose answer to each request a test decides. */
class scripted_backend
{
public:
    using tcp = boost::asio::ip::tcp;
    /** Gets the request's head and body, and returns the whole response, or
        nothing to close the connection. Called by one thread for each
        connection. */
    using handler = std::function<std::optional<std::string>(
        const std::string& head, const std::string& body)>;

    explicit scripted_backend(handler called)
        : handler_(std::move(called))
        , acceptor_(
              context_,
              tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , acceptor_thread_([this] { accept(); })
    {
    }

    ~scripted_backend()
    {
        stopping_ = true;
        tcp::socket waking(context_);
        boost::system::error_code ignored;
        waking.connect(acceptor_.local_endpoint(), ignored);
        acceptor_thread_.join();
        {
            std::lock_guard lock(mutex_);
            for (auto& it : sockets_)
                it.shutdown(tcp::socket::shutdown_both, ignored);
        }
        for (auto& it : threads_)
            it.join();
    }

    scripted_backend(const scripted_backend&) = delete;
    scripted_backend& operator=(const scripted_backend&) = delete;

    std::uint16_t port() const
    {
        return acceptor_.local_endpoint().port();
    }

    /** Connections that were accepted so far. */
    std::size_t connections()
    {
        std::lock_guard lock(mutex_);
        return sockets_.size();
    }

    /** Heads of the requests that arrived so far. */
    std::vector<std::string> requests()
    {
        std::lock_guard lock(mutex_);
        return requests_;
    }

    static std::string response(int status, const std::string& body)
    {
        return "HTTP/1.1 " + std::to_string(status) +
               " Status\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }

private:
    void accept()
    {
        for (;;)
        {
            tcp::socket accepted(context_);
            acceptor_.accept(accepted);
            if (stopping_)
                return;
            accepted.set_option(tcp::no_delay(true));
            std::lock_guard lock(mutex_);
            auto& kept = sockets_.emplace_back(std::move(accepted));
            threads_.emplace_back([this, &kept] { serve(kept); });
        }
    }

    void serve(tcp::socket& socket)
    {
        std::string buf;
        boost::system::error_code ec;
        for (;;)
        {
            auto head_bytes = boost::asio::read_until(
                socket, boost::asio::dynamic_buffer(buf), "\r\n\r\n", ec);
            if (ec)
                break;
            auto head = buf.substr(0, head_bytes);
            buf.erase(0, head_bytes);
            std::size_t body_bytes = 0;
            auto at = head.find("Content-Length: ");
            if (at != std::string::npos)
                body_bytes = std::strtoul(&head[at + 16], nullptr, 10);
            while (buf.size() < body_bytes && !ec)
                boost::asio::read(
                    socket, boost::asio::dynamic_buffer(buf),
                    boost::asio::transfer_exactly(body_bytes - buf.size()), ec);
            auto body = buf.substr(0, body_bytes);
            buf.erase(0, body_bytes);
            {
                std::lock_guard lock(mutex_);
                requests_.push_back(head);
            }
            auto reply = handler_(head, body);
            if (!reply)
                break;
            boost::asio::write(socket, boost::asio::buffer(*reply), ec);
        }
        std::lock_guard lock(mutex_);
        socket.shutdown(tcp::socket::shutdown_both, ec);
    }

    handler handler_;
    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    std::list<tcp::socket> sockets_;
    std::list<std::thread> threads_;
    std::vector<std::string> requests_;
    std::thread acceptor_thread_;
};

} // namespace turmericlane
