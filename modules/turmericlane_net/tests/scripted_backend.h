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

/** A backend server for which a test decides the response to each request. */
class scripted_backend
{
public:
    using tcp = boost::asio::ip::tcp;
    /** Receives the head and the body of a request, and returns the whole
        response, or nothing to close the connection. Called by one thread for
        each connection. */
    using request_handler = std::function<std::optional<std::string>(
        const std::string& head, const std::string& body)>;

    explicit scripted_backend(request_handler handler)
        : handler_(std::move(handler))
        , acceptor_(
              context_,
              tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , acceptor_thread_([this] { accept(); })
    {
    }

    ~scripted_backend()
    {
        is_stopping_ = true;
        tcp::socket wake_up_socket(context_);
        boost::system::error_code ignored_ec;
        wake_up_socket.connect(acceptor_.local_endpoint(), ignored_ec);
        acceptor_thread_.join();
        {
            std::lock_guard lock(mutex_);
            for (auto& it : sockets_)
                it.shutdown(tcp::socket::shutdown_both, ignored_ec);
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

    /** Returns the number of connections accepted so far. */
    std::size_t connection_count()
    {
        std::lock_guard lock(mutex_);
        return sockets_.size();
    }

    /** Returns the heads of the requests received so far. */
    std::vector<std::string> requests()
    {
        std::lock_guard lock(mutex_);
        return requests_;
    }

    /** True to close each connection after its first response. */
    std::atomic<bool> closes_after_reply = false;

    /** Returns an HTTP response. */
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
            tcp::socket accepted_socket(context_);
            acceptor_.accept(accepted_socket);
            if (is_stopping_)
                return;
            accepted_socket.set_option(tcp::no_delay(true));
            std::lock_guard lock(mutex_);
            auto& socket = sockets_.emplace_back(std::move(accepted_socket));
            threads_.emplace_back([this, &socket] { serve(socket); });
        }
    }

    void serve(tcp::socket& socket)
    {
        std::string received_bytes;
        boost::system::error_code ec;
        for (;;)
        {
            auto head_size = boost::asio::read_until(
                socket, boost::asio::dynamic_buffer(received_bytes), "\r\n\r\n",
                ec);
            if (ec)
                break;
            auto head = received_bytes.substr(0, head_size);
            received_bytes.erase(0, head_size);
            std::size_t body_size = 0;
            auto pos = head.find("Content-Length: ");
            if (pos != std::string::npos)
                body_size = std::strtoul(&head[pos + 16], nullptr, 10);
            while (received_bytes.size() < body_size && !ec)
                boost::asio::read(
                    socket, boost::asio::dynamic_buffer(received_bytes),
                    boost::asio::transfer_exactly(
                        body_size - received_bytes.size()),
                    ec);
            auto body = received_bytes.substr(0, body_size);
            received_bytes.erase(0, body_size);
            {
                std::lock_guard lock(mutex_);
                requests_.push_back(head);
            }
            auto reply = handler_(head, body);
            if (!reply)
                break;
            boost::asio::write(socket, boost::asio::buffer(*reply), ec);
            if (closes_after_reply)
                break;
        }
        std::lock_guard lock(mutex_);
        socket.shutdown(tcp::socket::shutdown_both, ec);
    }

    request_handler handler_;
    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::atomic<bool> is_stopping_ = false;
    std::mutex mutex_;
    std::list<tcp::socket> sockets_;
    std::list<std::thread> threads_;
    std::vector<std::string> requests_;
    std::thread acceptor_thread_;
};

} // namespace turmericlane
