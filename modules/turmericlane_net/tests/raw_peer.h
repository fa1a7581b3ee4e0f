#pragma once

#include <turmericlane_net/turmericlane_net.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <vector>

namespace turmericlane
{

/** A peer for which a test decides every byte, on a blocking socket. */
class raw_peer
{
public:
    using tcp = boost::asio::ip::tcp;

    raw_peer(std::uint16_t port, const shared_key& key)
        : authenticator_(session_role::initiator, {key}, make_session_nonce())
    {
        tcp::endpoint endpoint(
            boost::asio::ip::make_address("127.0.0.1"), port);
        socket_.connect(endpoint);
    }

    /** Writes bytes, and ignores errors: the receiver may have closed the
        connection already. */
    void write(std::span<const std::uint8_t> bytes)
    {
        boost::system::error_code ignored_ec;
        boost::asio::write(
            socket_, boost::asio::buffer(bytes.data(), bytes.size()),
            ignored_ec);
    }

    /** Returns the signed frame of a message. */
    std::vector<std::uint8_t> make_frame(const encoded_message& message)
    {
        std::vector<std::uint8_t> bytes;
        encoder_.append_frame(message.type, message.payload, bytes);
        return bytes;
    }

    /** Returns the frame of this peer's next hello. */
    std::vector<std::uint8_t> make_hello()
    {
        message_encoder encoder;
        message_header header{nonce, instance, 1};
        return make_frame(
            encoder.encode(header, hello_message{authenticator_.nonce()}));
    }

    /** Exchanges hellos.
        @returns true if the session is open */
    bool complete_handshake()
    {
        write(make_hello());
        if (!read_hello(true))
            return false;
        write(make_hello());
        return read_hello(false);
    }

    /** Waits for a byte. Returns false if the connection is closed. */
    bool read_byte()
    {
        std::uint8_t byte = 0;
        boost::system::error_code ec;
        return socket_.read_some(boost::asio::buffer(&byte, 1), ec) == 1;
    }

    /** Reads until the connection is closed. Returns the number of bytes. */
    std::size_t read_until_closed()
    {
        std::size_t total = 0;
        std::vector<std::uint8_t> buf(4096);
        boost::system::error_code ec;
        while (!ec)
            total += socket_.read_some(boost::asio::buffer(buf), ec);
        return total;
    }

    static constexpr std::uint64_t nonce = 77;
    static constexpr ordinal instance = 9;

private:
    bool read_hello(bool is_first)
    {
        std::optional<received_frame> frame;
        boost::system::error_code ec;
        while (!(frame = decoder_.next()) && !ec)
        {
            auto read_buffer = decoder_.prepare();
            decoder_.commit(socket_.read_some(
                boost::asio::buffer(read_buffer.data(), read_buffer.size()),
                ec));
        }
        if (!frame)
            return false;
        auto hello = decode_message<hello_message>(frame->payload);
        if (!hello)
            return false;
        return !is_first || authenticator_.establish(hello->body.nonce);
    }

    boost::asio::io_context context_;
    tcp::socket socket_{context_};
    session_authenticator authenticator_;
    frame_encoder encoder_{authenticator_};
    frame_decoder decoder_{authenticator_};
};

} // namespace turmericlane
