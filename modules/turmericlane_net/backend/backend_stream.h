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

    It replaces the library's own stream, for which a time-out and a broken
    connection look the same and each read has a time-out of its own. This one
    has one deadline for the whole exchange, knows whether a byte may have left,
    and sends the headers and the body of a request in one write. One thread
   uses it.

    @see backend_connection
*/
class backend_stream final : public httplib::Stream
{
public:
    /** Why an exchange came to its end. */
    enum class failure
    {
        none,
        refused,
        broken,
        timed_out
    };

    /** Prepares for an exchange.
        @param permit     asked before the first byte; may be empty
        @param cancelled  nothing is sent if it is set before the first byte */
    void begin(
        int socket,
        const clock& time,
        time_point deadline,
        const std::function<bool()>& permit,
        const std::atomic<bool>& cancelled);

    /** Forgets the state of the last exchange, before the next one connects. */
    void reset() noexcept;

    /** True if a byte of the request may have left. */
    bool may_have_left() const noexcept;

    /** The first failure of this exchange. */
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
    bool wait_for(short events);
    bool fail(failure why);

    int socket_ = -1;
    const clock* time_ = nullptr;
    time_point deadline_;
    const std::function<bool()>* permit_ = nullptr;
    const std::atomic<bool>* cancelled_ = nullptr;
    bool may_have_left_ = false;
    failure failure_ = failure::none;
    std::string unsent_;
    std::vector<char> received_;
    std::size_t received_begin_ = 0;
    std::size_t received_end_ = 0;
    std::size_t received_bytes_ = 0;
};

} // namespace turmericlane
