#include "http_client.h"

#include "response_stream.h"

namespace turmericlane
{

http_client::http_client(const std::string& host, std::uint16_t port)
    : httplib::ClientImpl(host, port)
{
}

bool http_client::process_socket(
    const Socket& socket, std::function<bool(httplib::Stream&)> callback)
{
    // What the library's own client does, with a stream in between.
    return httplib::detail::process_client_socket(
        socket.sock, read_timeout_sec_, read_timeout_usec_, write_timeout_sec_,
        write_timeout_usec_,
        [&callback](httplib::Stream& source)
        {
            response_stream checked_source(source);
            return callback(checked_source);
        });
}

} // namespace turmericlane
