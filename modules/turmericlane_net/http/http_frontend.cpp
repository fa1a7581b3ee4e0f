#include "http_frontend.h"

#include "frontend_server.h"
#include "frontend_stream.h"

#include <boost/asio/ip/address.hpp>

#include <cassert>
#include <thread>

namespace turmericlane
{

namespace
{

constexpr int bad_request = 400;
constexpr int too_large = 413;
constexpr int unavailable = 503;

void set_response(httplib::Response& target, http_response source)
{
    target.status = source.status;
    target.body = std::move(source.body);
    target.set_header("Content-Type", source.content_type);
}

http_request make_request(const httplib::Request& source)
{
    http_request request;
    request.path = source.path;
    request.body = source.body;
    request.header = [&source](const char* name)
    { return source.get_header_value(name); };
    request.parameter = [&source](const char* name)
    { return source.get_param_value(name); };
    return request;
}

httplib::Server::Handler make_library_handler(
    http_frontend::request_handler handler, std::size_t max_body_bytes)
{
    return [handler = std::move(handler), max_body_bytes](
               const httplib::Request& request, httplib::Response& response)
    {
        // The library limits only bodies whose length is stated.
        if (request.body.size() > max_body_bytes)
            response.status = too_large;
        else if (!frontend_stream::current()->begin_handling())
            response.status = unavailable;
        else
            set_response(response, handler(make_request(request)));
    };
}

frontend_server::settings
make_server_settings(const http_frontend_settings& source)
{
    frontend_server::settings values;
    values.listen_backlog = source.listen_backlog;
    values.threads = source.threads;
    values.max_connections = source.max_connections;
    values.max_memory_bytes = source.max_memory_bytes;
    values.limits = source.limits;
    return values;
}

// Returns a regular expression that matches exactly this path.
std::string make_literal_regex(std::string_view path)
{
    std::string pattern;
    for (char it : path)
    {
        if (std::string_view(".[]{}()\\*+?^$|").find(it) !=
            std::string_view::npos)
            pattern += '\\';
        pattern += it;
    }
    return pattern;
}

} // namespace

class http_frontend::implementation
{
public:
    explicit implementation(http_frontend_settings settings)
        : settings_(std::move(settings))
        , server_(
              make_server_settings(settings_),
              [this](int status) { return make_refusal(status); })
    {
        server_.set_tcp_nodelay(true);
        // Only for the Keep-Alive header of responses: frontend_server does not
        // limit the number of requests on a connection.
        server_.set_keep_alive_max_count(1'000'000);
        server_.set_keep_alive_timeout(
            std::chrono::duration_cast<std::chrono::seconds>(
                settings_.limits.idle_timeout)
                .count());
        server_.set_payload_max_length(settings_.limits.max_body_bytes);
        server_.set_error_handler(
            [this](const httplib::Request&, httplib::Response& response)
            { fill_refusal(response); });
        server_.set_exception_handler(
            [](const httplib::Request&, httplib::Response& response,
               const std::exception_ptr&) { response.status = 500; });
    }

    void fill_refusal(httplib::Response& response)
    {
        // The library has not found the end of a malformed request.
        if (response.status == bad_request)
            if (auto* stream = frontend_stream::current())
                stream->require_close();
        // The library also calls this for error responses of handlers, which
        // have a body.
        if (!refusal_handler_ || !response.body.empty())
            return;
        set_response(response, refusal_handler_(response.status));
    }

    std::pair<std::string, std::string> make_refusal(int status) const
    {
        if (!refusal_handler_)
            return {{}, "text/plain"};
        auto response = refusal_handler_(status);
        return {std::move(response.body), std::move(response.content_type)};
    }

    result<std::uint16_t> start()
    {
        using port_result = result<std::uint16_t>;
        boost::system::error_code ec;
        boost::asio::ip::make_address(settings_.host, ec);
        if (ec)
            return port_result::failure(
                "not a numeric address: " + settings_.host);
        int port = settings_.port;
        if (port == 0)
            port = server_.bind_to_any_port(settings_.host);
        else if (!server_.bind_to_port(settings_.host, port))
            port = -1;
        if (port <= 0)
            return port_result::failure(
                "cannot listen on " + settings_.host + " port " +
                std::to_string(settings_.port));
        server_.apply_backlog();
        accept_thread_ = std::thread([this] { server_.listen_after_bind(); });
        // The library ignores a stop that comes before its loop runs.
        while (!server_.is_running())
            std::this_thread::yield();
        return static_cast<std::uint16_t>(port);
    }

    void stop()
    {
        if (!accept_thread_.joinable())
            return;
        server_.stop();
        server_.drain();
        accept_thread_.join();
    }

    http_frontend_settings settings_;
    frontend_server server_;
    refusal_handler refusal_handler_;

private:
    std::thread accept_thread_;
};

http_frontend::http_frontend(http_frontend_settings settings)
{
    assert(settings.threads >= 1);
    assert(settings.max_connections > settings.threads);
    implementation_ = std::make_unique<implementation>(std::move(settings));
}

http_frontend::~http_frontend()
{
    stop();
}

void http_frontend::add_get_handler(
    std::string_view path, request_handler handler)
{
    implementation_->server_.Get(
        make_literal_regex(path),
        make_library_handler(
            std::move(handler),
            implementation_->settings_.limits.max_body_bytes));
}

void http_frontend::add_post_handler(
    std::string_view path, request_handler handler)
{
    implementation_->server_.Post(
        make_literal_regex(path),
        make_library_handler(
            std::move(handler),
            implementation_->settings_.limits.max_body_bytes));
}

void http_frontend::set_refusal_handler(refusal_handler handler)
{
    implementation_->refusal_handler_ = std::move(handler);
}

result<std::uint16_t> http_frontend::start()
{
    return implementation_->start();
}

void http_frontend::stop()
{
    implementation_->stop();
}

std::size_t http_frontend::requests_in_flight() const
{
    return implementation_->server_.requests_in_flight();
}

} // namespace turmericlane
