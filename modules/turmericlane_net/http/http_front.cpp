#include "http_front.h"

#include "front_server.h"

#include <boost/asio/ip/address.hpp>

#include <cassert>
#include <thread>

namespace turmericlane
{

namespace
{

void answer(httplib::Response& to, http_response from)
{
    to.status = from.status;
    to.body = std::move(from.body);
    to.set_header("Content-Type", from.content_type);
}

http_request make_request(const httplib::Request& from)
{
    http_request made;
    made.path = from.path;
    made.body = from.body;
    made.header = [&from](const char* name)
    { return from.get_header_value(name); };
    made.parameter = [&from](const char* name)
    { return from.get_param_value(name); };
    return made;
}

httplib::Server::Handler wrap(http_front::handler called)
{
    return [called = std::move(called)](
               const httplib::Request& request, httplib::Response& response)
    { answer(response, called(make_request(request))); };
}

// Returns the regular expression that matches only that path.
std::string literal(std::string_view path)
{
    std::string made;
    for (char it : path)
    {
        if (std::string_view(".[]{}()\\*+?^$|").find(it) !=
            std::string_view::npos)
            made += '\\';
        made += it;
    }
    return made;
}

} // namespace

class http_front::implementation
{
public:
    explicit implementation(http_front_settings settings)
        : settings_(std::move(settings))
        , server_(settings_.listen_backlog, settings_.keep_alive)
    {
        server_.set_tcp_nodelay(true);
        // For the header that tells callers what to expect; front_server itself
        // does not count requests.
        server_.set_keep_alive_max_count(1'000'000);
        server_.set_keep_alive_timeout(settings_.keep_alive.count());
        server_.set_payload_max_length(settings_.body_limit_bytes);
        server_.new_task_queue = [this]
        { return new httplib::ThreadPool(settings_.threads); };
        server_.set_error_handler(
            [this](const httplib::Request&, httplib::Response& response)
            { refuse(response); });
        server_.set_exception_handler(
            [](const httplib::Request&, httplib::Response& response,
               const std::exception_ptr&) { response.status = 500; });
    }

    void refuse(httplib::Response& response)
    {
        // Handlers' own refusals come here as well; they have a body.
        if (!refusal_ || !response.body.empty())
            return;
        answer(response, refusal_(response.status));
    }

    result<std::uint16_t> start()
    {
        using failure = result<std::uint16_t>;
        boost::system::error_code ec;
        boost::asio::ip::make_address(settings_.host, ec);
        if (ec)
            return failure::failure("not a numeric address: " + settings_.host);
        int port = settings_.port;
        if (port == 0)
            port = server_.bind_to_any_port(settings_.host);
        else if (!server_.bind_to_port(settings_.host, port))
            port = -1;
        if (port <= 0)
            return failure::failure(
                "cannot listen on " + settings_.host + " port " +
                std::to_string(settings_.port));
        server_.apply_backlog();
        thread_ = std::thread([this] { server_.listen_after_bind(); });
        // A stop before the library's loop runs would have no effect.
        while (!server_.is_running())
            std::this_thread::yield();
        return static_cast<std::uint16_t>(port);
    }

    void stop()
    {
        if (!thread_.joinable())
            return;
        server_.stop();
        server_.drain();
        thread_.join();
    }

    http_front_settings settings_;
    front_server server_;
    refusal_handler refusal_;

private:
    std::thread thread_;
};

http_front::http_front(http_front_settings settings)
{
    assert(settings.threads >= 1);
    implementation_ = std::make_unique<implementation>(std::move(settings));
}

http_front::~http_front()
{
    stop();
}

void http_front::on_get(std::string_view path, handler called)
{
    implementation_->server_.Get(literal(path), wrap(std::move(called)));
}

void http_front::on_post(std::string_view path, handler called)
{
    implementation_->server_.Post(literal(path), wrap(std::move(called)));
}

void http_front::on_refusal(refusal_handler called)
{
    implementation_->refusal_ = std::move(called);
}

result<std::uint16_t> http_front::start()
{
    return implementation_->start();
}

void http_front::stop()
{
    implementation_->stop();
}

std::size_t http_front::in_flight() const
{
    return implementation_->server_.in_flight();
}

} // namespace turmericlane
