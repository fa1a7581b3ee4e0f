#include "raw_peer.h"
#include "recording_listener.h"

#include <doctest/doctest.h>

#include <thread>

using namespace turmericlane;

namespace
{

shared_key make_key(std::uint8_t fill)
{
    shared_key made;
    made.fill(fill);
    return made;
}

peer_settings make_settings(ordinal instance)
{
    peer_settings made;
    made.listen = {"127.0.0.1", 0};
    made.keys = {make_key(1)};
    made.instance = instance;
    made.nonce = 1000 + instance;
    made.reconnect_first = std::chrono::milliseconds(1);
    made.reconnect_longest = std::chrono::milliseconds(10);
    // Longer than a test waits, unless the test is about these bounds.
    made.hello_timeout = 2 * test_patience;
    made.frame_timeout = 2 * test_patience;
    return made;
}

/** A network with what it needs. */
struct node
{
    recording_listener events;
    metrics_registry registry;
    instance_counters counters{registry};
    peer_network network;

    explicit node(const peer_settings& settings)
        : network(settings, events, counters)
    {
        auto failure = network.start();
        REQUIRE_MESSAGE(!failure, failure.value_or(""));
    }

    peer_address address() const
    {
        return {"127.0.0.1", network.port()};
    }

    std::uint64_t closed(reason why)
    {
        auto name = std::string(to_string(why));
        return registry
            .counter_of(
                "turmericlane_closed_connections_total", "", {{"reason", name}})
            .value();
    }

    std::uint64_t all_closed()
    {
        std::uint64_t total = 0;
        for (auto it : all_reasons())
            total += closed(it);
        return total;
    }
};

encoded_message make_message(message_encoder& encoder, std::uint64_t version)
{
    return encoder.encode({1, 1, 1}, bundle_request_message{version});
}

std::uint64_t version_of(const recording_listener::message& from)
{
    auto decoded = decode_message<bundle_request_message>(from.payload);
    return decoded ? decoded->body.have_version : 0;
}

// Waits until the network has closed the peer's connection, and checks that
// this cost one counter and that the listener learned nothing.
void check_turned_away(node& tested, raw_peer& peer, reason why)
{
    CHECK(peer.read_to_end() == 0);
    tested.network.stop();
    CHECK(tested.closed(why) == 1);
    CHECK(tested.all_closed() == 1);
    CHECK(tested.events.connected().empty());
    CHECK(tested.events.messages().empty());
    CHECK(tested.events.closed().empty());
}

} // namespace

TEST_CASE("messages travel in order in both directions of one session")
{
    node first(make_settings(1));
    node second(make_settings(2));
    first.network.set_bundle_version(41);
    REQUIRE(first.network.connect(second.address()));
    REQUIRE(first.events.wait_connected(1));
    REQUIRE(second.events.wait_connected(1));
    auto peer = second.events.connected()[0];
    CHECK(peer.instance == 1);
    CHECK(peer.nonce == 1001);
    CHECK(peer.bundle_version == 41);
    CHECK_FALSE(peer.outgoing);
    CHECK(first.events.connected()[0].instance == 2);
    CHECK(first.events.connected()[0].outgoing);
    CHECK(first.events.connected()[0].remote == second.address());

    message_encoder encoder;
    for (std::uint64_t n = 0; n < 1000; ++n)
    {
        REQUIRE(first.network.send(ordinal{2}, make_message(encoder, n)));
        REQUIRE(second.network.send_to_session(
            peer.session, make_message(encoder, n)));
    }
    for (auto* it : {&first.events, &second.events})
    {
        REQUIRE(it->wait_messages(1000));
        auto got = it->messages();
        for (std::uint64_t n = 0; n < 1000; ++n)
            REQUIRE(version_of(got[n]) == n);
    }
    CHECK(first.network.session_count() == 1);
}

TEST_CASE("threads that send at the same time lose no message")
{
    node first(make_settings(1));
    node second(make_settings(2));
    first.network.connect(second.address());
    REQUIRE(first.events.wait_connected(1));
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int n = 0; n < 4; ++n)
        threads.emplace_back(
            [&]
            {
                message_encoder encoder;
                for (std::uint64_t i = 0; i < 500; ++i)
                    first.network.send(
                        second.address(), make_message(encoder, i));
            });
    for (auto& it : threads)
        it.join();
    CHECK(second.events.wait_messages(2000));
}

TEST_CASE("the largest message arrives whole")
{
    node first(make_settings(1));
    node second(make_settings(2));
    first.network.connect(second.address());
    REQUIRE(first.events.wait_connected(1));
    message_encoder encoder;
    bundle_full_message sent{std::string(frame_payload_limit_bytes - 200, 'x')};
    REQUIRE(first.network.send(ordinal{2}, encoder.encode({}, sent)));
    REQUIRE(second.events.wait_messages(1));
    auto payload = second.events.messages()[0].payload;
    auto got = decode_message<bundle_full_message>(payload);
    REQUIRE(got);
    CHECK(got->body.text == sent.text);
}

TEST_CASE("a message without a connection is refused at once")
{
    node tested(make_settings(1));
    message_encoder encoder;
    auto message = make_message(encoder, 1);
    CHECK_FALSE(tested.network.send(ordinal{2}, message));
    CHECK_FALSE(tested.network.send(peer_address{"127.0.0.1", 1}, message));
    CHECK_FALSE(tested.network.send_to_session(1, message));
    CHECK_FALSE(tested.network.connected(2));
}

TEST_CASE("a name in place of a numeric address is refused")
{
    node tested(make_settings(1));
    CHECK_FALSE(tested.network.connect({"localhost", 1}));
    auto settings = make_settings(2);
    settings.listen.host = "localhost";
    peer_network other(settings, tested.events, tested.counters);
    CHECK(other.start());
}

TEST_CASE("messages that were queued before a stop arrive")
{
    node first(make_settings(1));
    node second(make_settings(2));
    first.network.connect(second.address());
    REQUIRE(first.events.wait_connected(1));
    message_encoder encoder;
    for (std::uint64_t n = 0; n < 200; ++n)
        REQUIRE(first.network.send(ordinal{2}, make_message(encoder, n)));
    first.network.stop();
    CHECK_FALSE(first.network.send(ordinal{2}, make_message(encoder, 1)));
    CHECK(first.events.closed().size() == 1);
    CHECK(first.events.closed()[0].why == reason::cancelled);
    REQUIRE(second.events.wait_closed(1));
    CHECK(second.events.messages().size() == 200);
    CHECK(second.events.closed()[0].why == reason::connection_lost);
}

TEST_CASE("a lost peer is connected again when it is back")
{
    node first(make_settings(1));
    auto settings = make_settings(2);
    {
        node second(settings);
        settings.listen.port = second.network.port();
        first.network.connect(second.address());
        REQUIRE(first.events.wait_connected(1));
    }
    REQUIRE(first.events.wait_closed(1));
    settings.nonce = 5;
    node second(settings);
    REQUIRE(first.events.wait_connected(2));
    CHECK(first.events.connected()[1].nonce == 5);
    message_encoder encoder;
    CHECK(first.network.send(ordinal{2}, make_message(encoder, 1)));
    CHECK(second.events.wait_messages(1));

    first.network.disconnect(second.address());
    REQUIRE(second.events.wait_closed(1));
    REQUIRE(first.events.wait_closed(2));
    CHECK_FALSE(first.network.connected(2));
}

TEST_CASE("a session that the owner closes ends on both sides")
{
    node first(make_settings(1));
    node second(make_settings(2));
    first.network.connect(second.address());
    REQUIRE(second.events.wait_connected(1));
    second.network.close_session(second.events.connected()[0].session);
    CHECK(second.events.wait_closed(1));
    CHECK(first.events.wait_closed(1));
    CHECK(first.events.wait_connected(2));
}

TEST_CASE("rubbish costs one connection")
{
    node tested(make_settings(1));
    raw_peer peer(tested.network.port(), make_key(1));
    std::string text = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    peer.write(
        {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
    check_turned_away(tested, peer, reason::frame_version);
}

TEST_CASE("an oversize announcement costs one connection")
{
    node tested(make_settings(1));
    raw_peer peer(tested.network.port(), make_key(1));
    frame_header header;
    header.payload_bytes = 5U << 20U;
    header.type = 1;
    peer.write(header.pack());
    check_turned_away(tested, peer, reason::frame_too_large);
}

TEST_CASE("a peer without the key gets no byte")
{
    node tested(make_settings(1));
    raw_peer peer(tested.network.port(), make_key(2));
    peer.write(peer.hello());
    check_turned_away(tested, peer, reason::frame_auth);
}

TEST_CASE("a message before the hello costs one connection")
{
    node tested(make_settings(1));
    raw_peer peer(tested.network.port(), make_key(1));
    message_encoder encoder;
    peer.write(peer.frame(make_message(encoder, 1)));
    check_turned_away(tested, peer, reason::frame_malformed);
}

TEST_CASE("a silent peer is closed after the hello time-out")
{
    auto settings = make_settings(1);
    settings.hello_timeout = std::chrono::milliseconds(10);
    node tested(settings);
    raw_peer peer(tested.network.port(), make_key(1));
    check_turned_away(tested, peer, reason::peer_too_slow);
}

TEST_CASE("a recorded hello does not make its sender a peer")
{
    auto settings = make_settings(1);
    settings.hello_timeout = std::chrono::milliseconds(10);
    node tested(settings);
    raw_peer recorded(tested.network.port(), make_key(1));
    auto hello = recorded.hello();
    raw_peer replaying(tested.network.port(), make_key(1));
    replaying.write(hello);
    replaying.write(recorded.hello());
    replaying.read_to_end();
    recorded.read_to_end();
    tested.network.stop();
    CHECK(tested.events.connected().empty());
    CHECK(tested.all_closed() == 2);
}

TEST_CASE("a frame that comes too slowly closes its session")
{
    auto settings = make_settings(1);
    settings.frame_timeout = std::chrono::milliseconds(10);
    node tested(settings);
    raw_peer peer(tested.network.port(), make_key(1));
    REQUIRE(peer.handshake());
    message_encoder encoder;
    auto bytes = peer.frame(make_message(encoder, 1));
    peer.write(std::span(bytes).first(bytes.size() - 1));
    REQUIRE(tested.events.wait_closed(1));
    CHECK(tested.events.closed()[0].why == reason::peer_too_slow);
    CHECK(tested.events.closed()[0].peer.instance == raw_peer::instance);
    CHECK(tested.events.messages().empty());
}

TEST_CASE("a replayed frame closes its session")
{
    node tested(make_settings(1));
    raw_peer peer(tested.network.port(), make_key(1));
    REQUIRE(peer.handshake());
    message_encoder encoder;
    auto bytes = peer.frame(make_message(encoder, 1));
    peer.write(bytes);
    peer.write(bytes);
    REQUIRE(tested.events.wait_closed(1));
    CHECK(tested.events.closed()[0].why == reason::frame_replayed);
    CHECK(tested.events.messages().size() == 1);
}

TEST_CASE("a peer that does not read cannot make the write queue grow")
{
    auto settings = make_settings(1);
    settings.write_queue_limit_bytes = std::size_t{1} << 20U;
    node tested(settings);
    raw_peer peer(tested.network.port(), make_key(1));
    REQUIRE(peer.handshake());
    REQUIRE(tested.events.wait_connected(1));
    message_encoder encoder;
    bundle_full_message message{std::string(100'000, 'x')};
    auto encoded = encoder.encode({}, message);
    std::size_t sent = 0;
    while (tested.network.send(ordinal{raw_peer::instance}, encoded))
        REQUIRE(++sent < 100'000);
    REQUIRE(tested.events.wait_closed(1));
    CHECK(tested.events.closed()[0].why == reason::queue_full);
    CHECK(tested.closed(reason::queue_full) == 1);
}

TEST_CASE("connections above the limit are closed at once")
{
    auto settings = make_settings(1);
    settings.session_limit = 1;
    node tested(settings);
    raw_peer first(tested.network.port(), make_key(1));
    REQUIRE(first.handshake());
    raw_peer second(tested.network.port(), make_key(1));
    CHECK(second.read_to_end() == 0);
    CHECK(tested.events.wait_connected(1));
    CHECK(tested.network.session_count() == 1);
}
