#include "peer_channel.h"

#include <boost/endian/conversion.hpp>

#include <cstring>

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Datagrams begin with this mark, which changes with their format. */
constexpr std::uint64_t datagram_mark = 0x746c2d7065657231ULL;
constexpr std::size_t mark_bytes = sizeof(datagram_mark);

/** Instances stop without notice and callers keep addresses for seconds, so
    that a lost one is found within about two. */
membership_limits datagram_limits()
{
    membership_limits made;
    made.period = 500ms;
    made.targets = 3;
    made.timeout = 500ms;
    made.suspect_time = 700ms;
    made.report_window = 4s;
    made.gone_time = 60s;
    made.exchange_bytes_per_second = 4000.0;
    return made;
}

} // namespace

peer_channel::peer_channel(
    event_context& loop,
    const clock& time,
    const member& self,
    std::uint64_t seed,
    peer_listener& listener)
    : clock_(time)
    , listener_(listener)
    , socket_(loop.get_executor())
    , self_(self)
    , table_(self, datagram_limits(), seed, time, *this)
    , timer_(loop, [this] { on_timer(); })
{
}

std::optional<std::string> peer_channel::start()
{
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(self_.where.address, ec);
    if (!ec)
        socket_.open(ip.is_v6() ? udp::v6() : udp::v4(), ec);
    if (!ec)
        socket_.bind(udp::endpoint(ip, self_.where.peer_port), ec);
    if (!ec)
        socket_.non_blocking(true, ec);
    if (ec)
        return self_.where.address + ":" +
               std::to_string(self_.where.peer_port) + "/udp: " + ec.message();
    receive();
    on_timer();
    return std::nullopt;
}

void peer_channel::set_seeds(std::span<const listed_instance> seeds)
{
    table_.on_list(seeds);
}

void peer_channel::leave()
{
    table_.start_leaving();
    membership_message message;
    message.kind = membership_message::type::exchange;
    message.sender = table_.self();
    message.members = {table_.self()};
    for (const auto& it : table_.members())
    {
        if (it.state == member_state::live)
            send(it.where, message);
    }
}

void peer_channel::send(const endpoint& to, const membership_message& message)
{
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(to.address, ec);
    if (ec)
        return;
    const message_header header{self_.nonce, self_.index, version_};
    const auto encoded = encoder_.encode(header, message);
    auto mark = datagram_mark;
    boost::endian::native_to_little_inplace(mark);
    const std::array<boost::asio::const_buffer, 2> parts = {
        boost::asio::buffer(&mark, mark_bytes),
        boost::asio::buffer(encoded.payload.data(), encoded.payload.size())};
    // A datagram that can't be sent is one that got lost: the table repeats.
    socket_.send_to(parts, udp::endpoint(ip, to.peer_port), 0, ec);
}

void peer_channel::changed(const member& value)
{
    listener_.member_changed(value);
}

void peer_channel::paused(duration gap)
{
    listener_.process_paused(gap);
}

void peer_channel::receive()
{
    socket_.async_wait(
        udp_socket::wait_read,
        [this](boost::system::error_code ec)
        {
            if (ec)
                return;
            for (;;)
            {
                udp::endpoint from;
                const auto n = socket_.receive_from(
                    boost::asio::buffer(incoming_), from, 0, ec);
                if (ec)
                    break;
                take(n);
            }
            timer_.set(table_.next_wakeup());
            receive();
        });
}

void peer_channel::take(std::size_t size)
{
    std::uint64_t mark = 0;
    if (size > mark_bytes)
        std::memcpy(&mark, incoming_.data(), mark_bytes);
    boost::endian::little_to_native_inplace(mark);
    if (mark != datagram_mark)
    {
        ++malformed_;
        return;
    }
    const auto message = decode_message<membership_message>(
        std::span(incoming_).subspan(mark_bytes, size - mark_bytes));
    if (!message)
    {
        ++malformed_;
        return;
    }
    listener_.peer_version(message->header.bundle_version);
    table_.on_message(message->body);
}

void peer_channel::on_timer()
{
    table_.on_timer();
    timer_.set(table_.next_wakeup());
}

} // namespace turmericlane
