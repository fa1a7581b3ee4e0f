#include "peer_channel.h"

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Larger payloads would be split on the way, and lost more often. */
constexpr std::size_t max_push_bytes = 1300;
/** Peers to which changes are pushed; the others hear of them by heartbeats. */
constexpr std::size_t max_push_peers = 100;

/** A quarter of what a datagram can carry; it is lost with any of its 11
    packets. About 170 members. */
constexpr std::size_t max_exchange_bytes = 16'000;
/** Time and rate in which an instance gets to know a fleet that was restarted
    as a whole; the rate is 2% of the smallest link, 20 Mbit/s. */
constexpr auto young_time = 5s;
constexpr double young_exchange_bytes_per_second = 50'000.0;

/** Instances stop without notice and callers keep addresses for seconds, so
    that a lost one is found within about two. */
membership_limits datagram_limits()
{
    membership_limits made;
    made.period = 500ms;
    made.heartbeats_per_round = 2;
    made.timeout = 500ms;
    made.suspect_timeout = 700ms;
    made.report_window = 4s;
    made.gone_retention = 60s;
    made.exchange_bytes_per_second = 4000.0;
    made.max_exchange_bytes = max_exchange_bytes;
    made.startup_time = young_time;
    made.startup_exchange_bytes_per_second = young_exchange_bytes_per_second;
    return made;
}

} // namespace

peer_channel::peer_channel(
    event_context& loop,
    const clock& time,
    const member& self,
    std::uint64_t seed,
    peer_listener& listener)
    : listener_(listener)
    , socket_(loop.get_executor())
    , self_(self)
    , table_(self, datagram_limits(), seed, time, *this)
    , timer_(loop, [this] { on_timer(); })
{
}

std::optional<std::string> peer_channel::start()
{
    boost::system::error_code ec;
    const auto ip =
        boost::asio::ip::make_address(self_.listen_endpoint.address, ec);
    if (!ec)
        socket_.open(ip.is_v6() ? udp::v6() : udp::v4(), ec);
    if (!ec)
        socket_.bind(udp::endpoint(ip, self_.listen_endpoint.peer_port), ec);
    if (!ec)
        socket_.non_blocking(true, ec);
    if (ec)
        return self_.listen_endpoint.address + ":" +
               std::to_string(self_.listen_endpoint.peer_port) +
               "/udp: " + ec.message();
    receive();
    on_timer();
    return std::nullopt;
}

void peer_channel::set_seeds(std::span<const listed_instance> seeds)
{
    table_.on_instance_list(seeds);
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
            send(it.listen_endpoint, message);
    }
}

void peer_channel::push(const feed_message& changes)
{
    auto encoded = encoder_.encode(header(), changes);
    if (encoded.payload.size() > max_push_bytes)
    {
        feed_message notice = changes;
        notice.items.clear();
        notice.base_revision = notice.last_revision;
        encoded = encoder_.encode(header(), notice);
    }
    for (const auto& it : table_.sample(max_push_peers))
        send_datagram(it.listen_endpoint, datagram_kind::feed, encoded.payload);
}

std::string peer_channel::encode_feed(const feed_message& message)
{
    const auto encoded = encoder_.encode(header(), message);
    return {
        reinterpret_cast<const char*>(encoded.payload.data()),
        encoded.payload.size()};
}

void peer_channel::send(const endpoint& to, const membership_message& message)
{
    const auto encoded = encoder_.encode(header(), message);
    send_datagram(to, datagram_kind::membership, encoded.payload);
}

void peer_channel::send_datagram(
    const endpoint& to,
    datagram_kind kind,
    std::span<const std::uint8_t> payload)
{
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(to.address, ec);
    if (ec)
        return;
    auto head = listener_.own_state();
    head.kind = kind;
    head.port = self_.listen_endpoint.peer_port;
    const auto buf = encode(head);
    const std::array<boost::asio::const_buffer, 2> parts = {
        boost::asio::buffer(buf),
        boost::asio::buffer(payload.data(), payload.size())};
    // A datagram that can't be sent is one that got lost: senders repeat.
    socket_.send_to(parts, udp::endpoint(ip, to.peer_port), 0, ec);
}

message_header peer_channel::header() const
{
    return {self_.nonce, self_.index, 0};
}

void peer_channel::on_member_changed(const member& value)
{
    listener_.member_changed(value);
}

void peer_channel::on_process_paused(duration gap)
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
                take(n, from);
            }
            timer_.set(table_.next_wakeup());
            receive();
        });
}

void peer_channel::take(std::size_t size, const udp::endpoint& from)
{
    const auto bytes = std::span(incoming_).first(size);
    const auto head = decode_datagram_header(bytes);
    if (!head)
    {
        ++malformed_;
        return;
    }
    const auto payload = bytes.subspan(datagram_header_bytes);
    std::uint64_t nonce = 0;
    if (head->kind == datagram_kind::feed)
    {
        if (const auto message = decode_message<feed_message>(payload))
        {
            nonce = message->header.nonce;
            listener_.peer_feed(message->body);
        }
    }
    else if (const auto message = decode_message<membership_message>(payload))
    {
        nonce = message->header.nonce;
        table_.on_message(message->body);
    }
    if (nonce == 0)
        ++malformed_;
    listener_.peer_state(
        {from.address().to_string(), head->port, 0}, nonce, *head);
}

void peer_channel::on_timer()
{
    table_.on_timer();
    timer_.set(table_.next_wakeup());
}

} // namespace turmericlane
