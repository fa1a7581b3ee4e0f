#pragma once

#include "loopback.h"

namespace turmericlane::tests
{

/** A caller with a plain socket and a small receive buffer, which reads only
    when the test says so. Its loop is not the gateway's, so that it can outlive
    the gateway. */
class plain_caller
{
public:
    explicit plain_caller(std::uint16_t port);

    /** Sends bytes; the system has taken all of them when it returns. */
    void send(std::string_view bytes);

    /** Closes the sending side only. */
    void shut_down_sending();

    /** Reads what has arrived, without waiting. */
    void read_available();

    /** Reads until the connection ends; gives up after many seconds. */
    void read_to_end();

    /** All bytes that were read. */
    std::string received;
    /** True once the gateway's side has ended, in whatever way. */
    bool has_ended = false;
    /** True if the connection was reset. */
    bool was_reset = false;

    /** True if a whole answer with a body of this size was read. */
    bool has_answer(std::size_t body_bytes) const;

private:
    void on_read(std::size_t size, boost::system::error_code ec);

    event_context loop_;
    tcp_socket socket_;
};

} // namespace turmericlane::tests
