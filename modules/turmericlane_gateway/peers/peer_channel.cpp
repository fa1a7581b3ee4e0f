#include "peer_channel.h"

namespace turmericlane
{

namespace
{

using namespace std::chrono_literals;

/** Larger payloads would be fragmented by the network, and lost more often. */
constexpr std::size_t max_push_bytes = 1300 - datagram_trailer_bytes;
/** Largest number of peers to which changes are pushed; the others learn of
    them from heartbeats. */
constexpr std::size_t max_push_peers = 100;

/** Largest number of peers to which failures of searchers are reported. Each
    peer then has about as many reporters, which is enough to know a rate. */
constexpr std::size_t max_report_peers = 20;

/** A quarter of the largest datagram, for about 170 members. A datagram of this
    size is sent in 11 packets and lost with any of them. */
constexpr std::size_t max_exchange_bytes = 16'000;
/** Time and rate, in bytes per second, with which an instance gets to know the
    other instances after all were restarted. The rate is 2% of the slowest
    link, which has 20 Mbit/s. */
constexpr auto startup_period = 5s;
constexpr double startup_exchange_bytes_per_second = 50'000.0;

/** Returns limits with which the failure of an instance is detected within
    about two seconds: instances fail without notice, and callers use addresses
    for seconds. */
membership_limits make_membership_limits()
{
    membership_limits limits;
    limits.period = 500ms;
    limits.heartbeats_per_round = 2;
    limits.timeout = 500ms;
    limits.suspect_timeout = 700ms;
    limits.report_window = 4s;
    limits.gone_retention = 60s;
    limits.exchange_bytes_per_second = 4000.0;
    limits.max_exchange_bytes = max_exchange_bytes;
    limits.startup_time = startup_period;
    limits.startup_exchange_bytes_per_second =
        startup_exchange_bytes_per_second;
    return limits;
}

} // namespace

peer_channel::peer_channel(
    event_context& loop,
    const clock& time,
    const member& own_member,
    std::uint64_t seed,
    peer_listener& listener)
    : listener_(listener)
    , socket_(loop.get_executor())
    , own_member_(own_member)
    , table_(own_member, make_membership_limits(), seed, time, *this)
    , timer_(loop, [this] { on_timer(); })
{
}

std::optional<std::string> peer_channel::start()
{
    boost::system::error_code ec;
    const auto ip =
        boost::asio::ip::make_address(own_member_.listen_endpoint.address, ec);
    if (!ec)
        socket_.open(ip.is_v6() ? udp::v6() : udp::v4(), ec);
    if (!ec)
        socket_.bind(
            udp::endpoint(ip, own_member_.listen_endpoint.peer_port), ec);
    if (!ec)
        socket_.non_blocking(true, ec);
    if (ec)
        return own_member_.listen_endpoint.address + ":" +
               std::to_string(own_member_.listen_endpoint.peer_port) +
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
    auto encoded = encoder_.encode(make_message_header(), changes);
    if (encoded.payload.size() > max_push_bytes)
    {
        feed_message notice = changes;
        notice.items.clear();
        notice.base_revision = notice.last_revision;
        encoded = encoder_.encode(make_message_header(), notice);
    }
    for (const auto& it : table_.sample(max_push_peers))
        send_datagram(it.listen_endpoint, datagram_kind::feed, encoded.payload);
}

void peer_channel::report_departure(const departure_message& departure)
{
    const auto encoded = encoder_.encode(make_message_header(), departure);
    for (const auto& it : table_.sample(max_push_peers))
        send_datagram(
            it.listen_endpoint, datagram_kind::departure, encoded.payload);
}

void peer_channel::report_departures(
    const endpoint& peer, std::span<const departure_message> departures)
{
    for (const auto& it : departures)
    {
        const auto encoded = encoder_.encode(make_message_header(), it);
        send_datagram(peer, datagram_kind::departure, encoded.payload);
    }
}

void peer_channel::report_failures(const failure_report_message& report)
{
    auto encoded = encoder_.encode(make_message_header(), report);
    // The entries with the most failures come first.
    auto shortened = report;
    while (encoded.payload.size() > max_push_bytes &&
           shortened.counts.size() > 1)
    {
        shortened.counts.resize(shortened.counts.size() / 2);
        encoded = encoder_.encode(make_message_header(), shortened);
    }
    // Other data centres have other links to the searchers, and traffic to them
    // is charged.
    for (const auto& it :
         table_.sample(max_report_peers, own_member_.data_centre))
        send_datagram(
            it.listen_endpoint, datagram_kind::failures, encoded.payload);
}

std::string peer_channel::encode_feed(const feed_message& message)
{
    const auto encoded = encoder_.encode(make_message_header(), message);
    return {
        reinterpret_cast<const char*>(encoded.payload.data()),
        encoded.payload.size()};
}

void peer_channel::send(
    const endpoint& destination, const membership_message& message)
{
    const auto encoded = encoder_.encode(make_message_header(), message);
    send_datagram(destination, datagram_kind::membership, encoded.payload);
}

void peer_channel::send_datagram(
    const endpoint& destination,
    datagram_kind kind,
    std::span<const std::uint8_t> payload)
{
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(destination.address, ec);
    if (ec)
        return;
    auto header = listener_.own_state();
    header.kind = kind;
    header.port = own_member_.listen_endpoint.peer_port;
    const auto buf = encode(header);
    const auto trailer_buf = encode_trailer(header.era.value_or(store_era{}));
    const std::array<boost::asio::const_buffer, 3> buffers = {
        boost::asio::buffer(buf),
        boost::asio::buffer(payload.data(), payload.size()),
        boost::asio::buffer(
            trailer_buf.data(), header.era ? trailer_buf.size() : 0)};
    // A datagram that cannot be sent counts as lost; lost messages are sent
    // again.
    socket_.send_to(buffers, udp::endpoint(ip, destination.peer_port), 0, ec);
}

message_header peer_channel::make_message_header() const
{
    return {own_member_.nonce, own_member_.index, 0};
}

void peer_channel::on_member_changed(const member& record)
{
    listener_.member_changed(record);
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
                udp::endpoint sender;
                const auto n = socket_.receive_from(
                    boost::asio::buffer(datagram_), sender, 0, ec);
                if (ec)
                    break;
                on_datagram(n, sender);
            }
            timer_.set(table_.next_wakeup());
            receive();
        });
}

void peer_channel::on_datagram(std::size_t size, const udp::endpoint& sender)
{
    const auto bytes = std::span(datagram_).first(size);
    const auto datagram = split_datagram(bytes);
    if (!datagram)
    {
        ++malformed_count_;
        return;
    }
    const auto& [header, payload] = *datagram;
    std::uint64_t nonce = 0;
    if (header.kind == datagram_kind::feed)
    {
        if (const auto message = decode_message<feed_message>(payload))
        {
            nonce = message->header.nonce;
            listener_.peer_feed_received(message->body);
        }
    }
    else if (header.kind == datagram_kind::departure)
    {
        if (const auto message = decode_message<departure_message>(payload))
        {
            nonce = message->header.nonce;
            listener_.departure_reported(message->body);
        }
    }
    else if (header.kind == datagram_kind::failures)
    {
        if (const auto message =
                decode_message<failure_report_message>(payload))
        {
            nonce = message->header.nonce;
            listener_.failures_reported(nonce, message->body);
        }
    }
    else if (const auto message = decode_message<membership_message>(payload))
    {
        nonce = message->header.nonce;
        table_.on_message(message->body);
    }
    if (nonce == 0)
        ++malformed_count_;
    listener_.peer_state_received(
        {sender.address().to_string(), header.port, 0}, nonce, header);
}

void peer_channel::on_timer()
{
    table_.on_timer();
    timer_.set(table_.next_wakeup());
}

} // namespace turmericlane
