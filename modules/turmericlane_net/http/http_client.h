#pragma once

#include <httplib.h>

#include <cstdint>
#include <functional>
#include <string>

namespace turmericlane
{

/** The HTTP library's client, for valid responses only: any other is an error,
    as if the connection had broken.

    @see response_stream
*/
class http_client final : public httplib::ClientImpl
{
public:
    http_client(const std::string& host, std::uint16_t port);

private:
    bool process_socket(
        const Socket& socket,
        std::function<bool(httplib::Stream&)> callback) override;
};

} // namespace turmericlane
