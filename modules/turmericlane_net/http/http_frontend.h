#pragma once

#include "frontend_limits.h"

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

/** A request as passed to a handler. The views are valid during the call. */
struct http_request
{
    std::string_view path;
    std::string_view body;
    /** Returns the value of a header, or an empty string. */
    std::function<std::string(const char* name)> header;
    /** Returns the value of a query parameter, or an empty string. */
    std::function<std::string(const char* name)> parameter;
};

/** The response of a handler. */
struct http_response
{
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
};

/** Settings of an http_frontend. */
struct http_frontend_settings
{
    /** Numeric IP address to listen on. */
    std::string host;
    /** Port to listen on; 0 selects any free port. */
    std::uint16_t port = 0;
    /** Number of threads, and thereby of connections served at the same time:
        each open connection occupies a thread. Further connections wait. */
    std::size_t threads = 64;
    /** Accepted connections, served or waiting for a thread; at least one more
        than threads. Further ones are closed at once. */
    std::size_t max_connections = 512;
    /** Limit of the memory for requests and responses. */
    std::size_t max_memory_bytes = std::size_t{32} << 20U;
    frontend_limits limits;
    /** Connections that may wait to be accepted. */
    int listen_backlog = 1024;
};

/** The HTTP server for callers and operators.

    Handlers must be added before start. They are called by several threads at
    the same time and may block. An unknown path is answered with status 404,
   and a request outside of the limits with 400, 408 (time), 413 (body), 415
    (compressed body), 431 (head) or 503 (memory); it has not reached a handler.

    @see http_request, http_response
*/
class http_frontend
{
public:
    using request_handler = std::function<http_response(const http_request&)>;
    /** Returns the response to a request that reached no handler, with status
        400, 404, 408, 413, 415, 431 or 503. Several threads call it at the same
        time. */
    using refusal_handler = std::function<http_response(int status)>;

    explicit http_frontend(http_frontend_settings settings);

    /** Stops the server if it runs. */
    ~http_frontend();
    http_frontend(const http_frontend&) = delete;
    http_frontend& operator=(const http_frontend&) = delete;

    /** Adds a handler for GET requests. The path is matched literally. */
    void add_get_handler(std::string_view path, request_handler handler);

    /** Adds a handler for POST requests. The path is matched literally. */
    void add_post_handler(std::string_view path, request_handler handler);

    /** Sets the handler that replaces the empty body of refusals. */
    void set_refusal_handler(refusal_handler handler);

    /** Binds, listens and starts the threads.
        @returns the bound port, or an error message */
    result<std::uint16_t> start();

    /** Stops accepting connections, closes idle ones, waits until running
        handlers have returned and their responses are sent, and joins the
        threads. */
    void stop();

    /** Returns the number of requests that are being read, handled or
        answered. */
    std::size_t requests_in_flight() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace turmericlane
