#include "http_listener.h"

namespace turmericlane
{

namespace
{

/** Largest number of connections that wait to be accepted. */
constexpr int backlog = 1024;
/** Delay after a failed accept, which mostly means that no file descriptor is
    free. */
constexpr auto accept_retry_delay = std::chrono::milliseconds(50);

} // namespace

http_listener::http_listener(
    event_context& loop,
    session_handler& handler,
    const clock& time,
    caller_resources resources)
    : handler_(handler)
    , clock_(time)
    , resources_(std::move(resources))
    , acceptor_(loop.get_executor())
    , retry_timer_(loop.get_executor())
{
    if (!resources_.memory)
        resources_.memory = std::make_shared<caller_memory>(time);
}

std::optional<std::string>
http_listener::listen(const std::string& address, std::uint16_t port)
{
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(address, ec);
    if (!ec)
        acceptor_.open(ip.is_v6() ? tcp::v6() : tcp::v4(), ec);
    if (!ec)
        acceptor_.set_option(tcp_acceptor::reuse_address(true), ec);
    if (!ec)
        acceptor_.bind(tcp::endpoint(ip, port), ec);
    if (!ec)
        acceptor_.listen(backlog, ec);
    if (ec)
        return address + ":" + std::to_string(port) + ": " + ec.message();
    accept();
    return std::nullopt;
}

void http_listener::stop()
{
    boost::system::error_code ec;
    // Closing the socket resets the connections that wait; some may carry a
    // request.
    if (acceptor_.is_open())
        acceptor_.non_blocking(true, ec);
    for (int i = 0; i < backlog && acceptor_.is_open() && !ec; ++i)
    {
        tcp_socket socket(acceptor_.get_executor());
        acceptor_.accept(socket, ec);
        if (!ec)
            start_session(std::move(socket));
    }
    acceptor_.close(ec);
}

void http_listener::sweep()
{
    std::erase_if(sessions_, [](const auto& it) { return !it->sweep(); });
}

void http_listener::close_idle()
{
    for (const auto& it : sessions_)
        it->close_if_idle(caller_connection_end::closed_idle);
}

std::size_t http_listener::busy_count() const
{
    std::size_t n = 0;
    for (const auto& it : sessions_)
        n += it->must_stay() ? 1 : 0;
    return n;
}

session_counts http_listener::count_sessions() const
{
    session_counts counts;
    for (const auto& it : sessions_)
        it->add_to(counts);
    return counts;
}

void http_listener::report_process_end()
{
    for (const auto& it : sessions_)
        it->report_process_end();
}

void http_listener::accept()
{
    acceptor_.async_accept(
        [this](boost::system::error_code ec, tcp_socket socket)
        {
            if (!ec)
                start_session(std::move(socket));
            if (!acceptor_.is_open())
                return;
            if (ec)
            {
                retry_timer_.expires_after(accept_retry_delay);
                retry_timer_.async_wait(
                    [this](boost::system::error_code timer_error)
                    {
                        if (!timer_error && acceptor_.is_open())
                            accept();
                    });
                return;
            }
            accept();
        });
}

void http_listener::start_session(tcp_socket socket)
{
    if (!make_room())
        return;
    auto session = std::make_shared<caller_session>(
        std::move(socket), handler_, resources_.memory, clock_);
    sessions_.push_back(session);
    session->start();
}

bool http_listener::make_room()
{
    if (sessions_.size() < resources_.max_connections)
        return true;
    std::erase_if(sessions_, [](const auto& it) { return it->is_closed(); });
    if (sessions_.size() < resources_.max_connections)
        return true;
    auto least_used = sessions_.end();
    for (auto it = sessions_.begin(); it != sessions_.end(); ++it)
    {
        const auto candidate = (*it)->unused_since();
        if (candidate && (least_used == sessions_.end() ||
                          *candidate < *(*least_used)->unused_since()))
            least_used = it;
    }
    return least_used != sessions_.end() && (*least_used)->end_unused();
}

} // namespace turmericlane
