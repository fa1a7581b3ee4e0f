#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <httplib.h>

#include <atomic>
#include <functional>
#include <string>
#include <vector>

namespace turmericlane
{

/** The byte stream of one connection to a backend server, for the HTTP library.

    The library's own stream does not distinguish a timeout from a broken
    connection and applies its timeout to each read. This one has one deadline
    for the whole exchange, records whether a byte may have been sent, and sends
    the headers and the body of a request in one write. Not thread-safe.

    @see backend_connection
*/
class backend_stream final : public httplib::Stream
{
public:
    /** Why an exchange failed; refused means that it was cancelled or that the
        send condition was false. */
    enum class failure
    {
        none,
        refused,
        broken,
        timed_out
    };

    /** Prepares for an exchange on a connected socket. The references must
        remain valid until its end.
        @param send_condition  checked before the first byte; may be empty
        @param is_cancelled    if it is set before the first byte, nothing is
                               sent */
    void begin_exchange(
        int socket,
        const clock& time,
        time_point deadline,
        const std::function<bool()>& send_condition,
        const std::atomic<bool>& is_cancelled);

    /** Clears the state of the last exchange; called before the next one
        connects. */
    void reset() noexcept;

    /** True if a byte of the request may have been sent. */
    bool may_have_been_sent() const noexcept;

    /** Returns the first failure of this exchange. */
    failure first_failure() const noexcept;

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char* ptr, size_t size) override;
    ssize_t write(const char* ptr, size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override;

private:
    bool may_send() const;
    bool flush();
    bool receive();
    bool wait_for_socket(short events);
    bool fail(failure cause);

    int socket_ = -1;
    const clock* time_ = nullptr;
    time_point deadline_;
    const std::function<bool()>* send_condition_ = nullptr;
    const std::atomic<bool>* is_cancelled_ = nullptr;
    bool may_have_been_sent_ = false;
    failure failure_ = failure::none;
    std::string send_buffer_;
    std::vector<char> receive_buffer_;
    std::size_t unread_begin_ = 0;
    std::size_t unread_end_ = 0;
    std::size_t reply_bytes_ = 0;
};

} // namespace turmericlane
