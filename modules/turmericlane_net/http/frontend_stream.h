#pragma once

#include "frontend_limits.h"
#include "request_memory.h"

#include <httplib.h>

#include <array>
#include <atomic>
#include <chrono>
#include <string>

namespace turmericlane
{

/** The byte stream of one caller's connection, for the HTTP library.

    The library's own stream polls for the next request, sleeping in between,
    and sends the head and the body of a response in two writes. This one blocks
    in the kernel and sends a response in one write. It limits the bytes and the
    time of a whole request, since the library would read heads and chunked
    bodies without end. Not thread-safe.

    @see frontend_server
*/
class frontend_stream final : public httplib::Stream
{
public:
    /** @param socket           not owned
        @param stop_descriptor  becomes readable when idle connections have to
                                close
        @param limits           must outlive the stream
        @param waiting_count    number of connections that wait for a thread;
                                must outlive the stream
        @param memory           must outlive the stream */
    frontend_stream(
        int socket,
        int stop_descriptor,
        const frontend_limits& limits,
        const std::atomic<std::size_t>& waiting_count,
        request_memory& memory);
    ~frontend_stream() override;
    frontend_stream(const frontend_stream&) = delete;
    frontend_stream& operator=(const frontend_stream&) = delete;

    /** Returns the stream of the connection that this thread serves, or null.
        The library calls handlers in the thread of their connection. */
    static frontend_stream* current() noexcept;

    /** Waits for the first byte of a request.
        @returns false if none arrives before the timeout or the stop, or if the
                 caller closed the connection */
    bool wait_for_request();

    /** Receives the head of a request, which read then returns.
        @returns false if the request must be refused or the connection is
                 broken */
    bool read_head();

    /** Must be called before a handler gets the request.
        @returns false if the request has been given up and must be refused */
    bool begin_handling();

    /** Must be called when the response is sent. */
    void end_request();

    /** Returns the status with which the request has to be refused, or 0. The
        request has not reached a handler, and the rest of its bytes is not
        read, so that the connection must be closed. */
    int refusal_status() const;

    /** Discards the response that was written since the last flush. */
    void discard_response();

    /** The connection must be closed after the response. */
    void require_close() noexcept;

    /** True if the connection must be closed after the response. */
    bool is_close_required() const noexcept;

    /** Sends the bytes that were written since the last flush.
        @returns false if the connection is broken or the caller reads too
                 slowly */
    bool flush();

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char* ptr, size_t size) override;
    ssize_t write(const char* ptr, size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override;

private:
    using time_point = std::chrono::steady_clock::time_point;

    enum class receive_status
    {
        has_data,
        no_data,
        end_of_stream
    };

    receive_status receive();
    bool receive_first(time_point start_time);
    bool receive_more();
    bool take_empty_lines();
    bool hold(std::size_t bytes);
    bool refuse(int status);
    time_point deadline_after(
        time_point start_time,
        std::chrono::milliseconds timeout,
        std::chrono::milliseconds busy_timeout) const;
    bool wait_for_socket(
        short events, time_point deadline, int stop_descriptor) const;

    const int socket_;
    const int stop_descriptor_;
    const frontend_limits& limits_;
    const std::atomic<std::size_t>& waiting_count_;
    request_memory_claim claim_;
    bool is_broken_ = false;
    bool is_close_required_ = false;
    bool is_handled_ = false;
    int refusal_status_ = 0;
    time_point request_start_;
    std::string head_text_;
    /** Number of bytes of the head that the library has read. */
    std::size_t head_position_ = 0;
    /** Memory of the parsed head. */
    std::size_t head_cost_bytes_ = 0;
    std::size_t body_bytes_ = 0;
    std::size_t max_body_bytes_ = 0;
    std::string send_buffer_;
    std::array<char, 8192> receive_buffer_;
    std::size_t unread_begin_ = 0;
    std::size_t unread_end_ = 0;
};

} // namespace turmericlane
