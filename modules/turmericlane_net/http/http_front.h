#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace turmericlane
{

/** A request in the hands of a handler. The views are valid during the call. */
struct http_request
{
    std::string_view path;
    std::string_view body;
    /** Returns a header's value, or an empty text. */
    std::function<std::string(const char* name)> header;
    /** Returns a query parameter's value, or an empty text. */
    std::function<std::string(const char* name)> parameter;
};

/** What a handler answers. */
struct http_response
{
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
};

/** What an http_front needs to know. */
struct http_front_settings
{
    /** Numeric IP address. */
    std::string host;
    /** 0 takes any free port. */
    std::uint16_t port = 0;
    /** Connections that are served at the same time, since each occupies a
        thread while it is kept alive; further ones wait. */
    std::size_t threads = 64;
    std::size_t body_limit_bytes = std::size_t{1} << 20U;
    /** How long an idle connection is kept, in whole seconds. */
    std::chrono::seconds keep_alive{30};
    /** Connections that may wait to be accepted. */
    int listen_backlog = 1024;
};

/** The HTTP server for callers and operators.

    Handlers are added before start and called by several threads at the same
    time. A handler may block until its answer is there. A body above the limit
    is answered with 413, an unknown path with 404.

    @see http_request, http_response
*/
class http_front
{
public:
    using handler = std::function<http_response(const http_request&)>;
    /** Makes the answer for a request that reached no handler: 404 or 413. */
    using refusal_handler = std::function<http_response(int status)>;

    explicit http_front(http_front_settings settings);

    /** Stops the server if it runs. */
    ~http_front();
    http_front(const http_front&) = delete;
    http_front& operator=(const http_front&) = delete;

    /** Adds handlers. The path is matched literally. */
    void on_get(std::string_view path, handler called);
    void on_post(std::string_view path, handler called);

    /** Replaces the empty body of 404 and 413 answers. */
    void on_refusal(refusal_handler called);

    /** Binds, listens and starts the threads.
        @returns the bound port, or why there is none */
    result<std::uint16_t> start();

    /** Accepts no more connections, lets handlers finish and their answers
        leave, closes idle connections and joins the threads. */
    void stop();

    /** Requests that are being read, handled or answered. */
    std::size_t in_flight() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace turmericlane
