#pragma once

#include <httplib.h>

#include <array>
#include <chrono>
#include <string>

namespace turmericlane
{

/** The byte stream of one caller's connection, for the HTTP library.

    The library's own stream waits for the next request by polling with sleeps
    between, and sends the head and the body of an answer in two writes. This
   one waits in the kernel, bounds the time for a whole request, and sends an
   answer in one write. One thread uses it.

    @see front_server
*/
class front_stream final : public httplib::Stream
{
public:
    /** @param socket           not owned
        @param stop_descriptor  readable once idle connections have to end */
    front_stream(int socket, int stop_descriptor);

    /** Waits for the first byte of a request.
        @returns false if there is none within the time or before the stop, or
       if the peer closed */
    bool wait_for_request(std::chrono::milliseconds keep_alive);

    /** Sends what was written since the last flush.
        @returns false if the connection is broken or the peer reads too slowly
     */
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

    enum class received
    {
        some,
        nothing_yet,
        end
    };

    received receive();
    bool receive_until(time_point deadline, int stop_descriptor);
    bool wait_for(short events, time_point deadline, int stop_descriptor) const;

    const int socket_;
    const int stop_descriptor_;
    bool broken_ = false;
    time_point request_deadline_;
    std::string unsent_;
    std::array<char, 8192> received_;
    std::size_t received_begin_ = 0;
    std::size_t received_end_ = 0;
};

} // namespace turmericlane
