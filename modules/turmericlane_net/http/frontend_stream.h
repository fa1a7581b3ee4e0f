#pragma once

#include <httplib.h>

#include <array>
#include <chrono>
#include <string>

namespace turmericlane
{

/** The byte stream of one caller's connection, for the HTTP library.

    The library's own stream polls for the next request, sleeping in between,
    and sends the head and the body of a response in two writes. This one blocks
    in the kernel, limits the time for receiving a whole request, and sends a
    response in one write. Not thread-safe.

    @see frontend_server
*/
class frontend_stream final : public httplib::Stream
{
public:
    /** @param socket           not owned
        @param stop_descriptor  becomes readable when idle connections have to
                                close */
    frontend_stream(int socket, int stop_descriptor);

    /** Waits for the first byte of a request.
        @returns false if none arrives before the timeout or the stop, or if the
                 caller closed the connection */
    bool wait_for_request(std::chrono::milliseconds idle_timeout);

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
    bool receive_until(time_point deadline, int stop_descriptor);
    bool wait_for_socket(
        short events, time_point deadline, int stop_descriptor) const;

    const int socket_;
    const int stop_descriptor_;
    bool is_broken_ = false;
    time_point request_deadline_;
    std::string send_buffer_;
    std::array<char, 8192> receive_buffer_;
    std::size_t unread_begin_ = 0;
    std::size_t unread_end_ = 0;
};

} // namespace turmericlane
