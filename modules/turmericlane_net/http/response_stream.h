#pragma once

#include <turmericlane_http/turmericlane_http.h>

#include <httplib.h>

#include <optional>
#include <string>

namespace turmericlane
{

/** A byte stream through which the HTTP library reads one response.

    The library takes statuses of any three digits, skips lines that it does not
    understand, and then reads a body whose length it has skipped until the
    connection ends. It also takes other bytes between two chunks for the end of
    the body. This stream checks the head before the library gets it, and chunks
    while they pass; if they are not valid, it fails like a broken connection.
    Interim responses are left out. Not thread-safe.

    @see parse_response_head, chunk_checker
*/
class response_stream final : public httplib::Stream
{
public:
    /** @param source  stream of the connection; must outlive the object */
    explicit response_stream(httplib::Stream& source);

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char* ptr, size_t size) override;
    ssize_t write(const char* ptr, size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override;

private:
    bool read_head();
    bool read_head_text();

    httplib::Stream& source_;
    std::string head_text_;
    /** Number of bytes of the head that the library has read. */
    std::size_t head_position_ = 0;
    bool has_head_ = false;
    /** Checks the body if it consists of chunks. */
    std::optional<chunk_checker> chunks_;
};

} // namespace turmericlane
