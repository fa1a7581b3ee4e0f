#include "connected_pair.h"

using namespace turmericlane;
using samples::connected_pair;
using samples::make_key;

namespace
{

// Lets the acceptor read bytes that hold no acceptable frame.
reason error_of(connected_pair& pair, const std::vector<std::uint8_t>& bytes)
{
    pair.at_acceptor.append(bytes);
    CHECK_FALSE(pair.at_acceptor.next());
    return pair.at_acceptor.error();
}

reason error_after_change(std::size_t position, std::uint8_t value)
{
    connected_pair pair;
    REQUIRE(pair.establish());
    auto bytes = pair.frame();
    bytes[position] = value;
    return error_of(pair, bytes);
}

} // namespace

TEST_CASE("a frame that arrives byte by byte is found")
{
    connected_pair pair;
    REQUIRE(pair.establish());
    auto bytes = pair.frame(24);
    for (std::size_t n = 0; n < bytes.size(); ++n)
    {
        CHECK_FALSE(pair.at_acceptor.next());
        CHECK(pair.at_acceptor.has_partial_frame() == (n > 0));
        pair.at_acceptor.append({&bytes[n], 1});
    }
    auto got = pair.at_acceptor.next();
    REQUIRE(got);
    CHECK(got->type == frame_type::heartbeat);
    CHECK(got->payload.size() == 24);
    CHECK_FALSE(pair.at_acceptor.has_partial_frame());
    CHECK(pair.at_acceptor.error() == reason::none);
}

TEST_CASE("frames that arrive together are found one by one, and aligned")
{
    connected_pair pair;
    REQUIRE(pair.establish());
    std::vector<std::uint8_t> bytes;
    for (std::size_t n = 0; n < 100; ++n)
    {
        auto frame = pair.frame(8 * n);
        bytes.insert(bytes.end(), frame.begin(), frame.end());
    }
    pair.at_acceptor.append(bytes);
    for (std::size_t n = 0; n < 100; ++n)
    {
        auto got = pair.at_acceptor.next();
        REQUIRE(got);
        CHECK(got->payload.size() == 8 * n);
        auto address = reinterpret_cast<std::uintptr_t>(got->payload.data());
        CHECK(address % 8 == 0);
    }
    CHECK_FALSE(pair.at_acceptor.next());
}

TEST_CASE("the largest payload passes through prepare and commit")
{
    connected_pair pair;
    REQUIRE(pair.establish());
    auto bytes = pair.frame(frame_payload_limit_bytes);
    std::span<const std::uint8_t> left(bytes);
    while (!left.empty())
    {
        CHECK_FALSE(pair.at_acceptor.next());
        auto to = pair.at_acceptor.prepare();
        auto n = std::min(to.size(), left.size());
        std::copy_n(left.begin(), n, to.begin());
        pair.at_acceptor.commit(n);
        left = left.subspan(n);
    }
    auto got = pair.at_acceptor.next();
    REQUIRE(got);
    CHECK(got->payload.size() == frame_payload_limit_bytes);
}

TEST_CASE("each kind of damage has its reason")
{
    CHECK(error_after_change(3, 1) == reason::frame_too_large);
    CHECK(error_after_change(4, 2) == reason::frame_version);
    CHECK(error_after_change(5, 0) == reason::frame_malformed);
    CHECK(
        error_after_change(5, frame_type_count + 1) == reason::frame_malformed);
    CHECK(error_after_change(6, 1) == reason::frame_malformed);
    CHECK(error_after_change(0, 9) == reason::frame_malformed);
    CHECK(error_after_change(8, 9) == reason::frame_auth);
    CHECK(error_after_change(20, 0) == reason::frame_auth);
    CHECK(error_after_change(16 + 16 + 3, 0) == reason::frame_auth);
}

TEST_CASE("a claimed length costs no memory before the bytes arrive")
{
    connected_pair pair;
    REQUIRE(pair.establish());
    auto bytes = pair.frame(frame_payload_limit_bytes);
    pair.at_acceptor.append(std::span(bytes).first(16));
    CHECK(pair.at_acceptor.prepare().size() < std::size_t{1} << 20U);
}

TEST_CASE("an unauthenticated peer cannot announce a large frame")
{
    connected_pair pair;
    auto bytes = pair.frame(2048);
    CHECK(error_of(pair, bytes) == reason::frame_too_large);
}

TEST_CASE("a decoder accepts nothing after an error")
{
    connected_pair pair;
    REQUIRE(pair.establish());
    auto bytes = pair.frame();
    auto good = pair.frame();
    bytes.back() ^= 1U;
    CHECK(error_of(pair, bytes) == reason::frame_auth);
    CHECK(error_of(pair, good) == reason::frame_auth);
}

TEST_CASE("a repeated, skipped or swapped frame is refused")
{
    connected_pair pair;
    REQUIRE(pair.establish());
    auto first = pair.frame();
    SUBCASE("repeated")
    {
        pair.at_acceptor.append(first);
        CHECK(pair.at_acceptor.next());
        CHECK(error_of(pair, first) == reason::frame_replayed);
    }
    SUBCASE("skipped or swapped")
    {
        CHECK(error_of(pair, pair.frame()) == reason::frame_replayed);
    }
}

TEST_CASE("a frame recorded in another session is refused")
{
    connected_pair recorded;
    REQUIRE(recorded.establish());
    auto bytes = recorded.frame();
    connected_pair pair(
        {make_key(1)}, {make_key(1)}, samples::make_nonce(3),
        samples::make_nonce(5));
    REQUIRE(pair.establish());
    CHECK(error_of(pair, bytes) == reason::frame_auth);
}

TEST_CASE("a frame that is sent back to its sender is refused")
{
    connected_pair pair;
    REQUIRE(pair.establish());
    pair.at_initiator.append(pair.frame());
    CHECK_FALSE(pair.at_initiator.next());
    CHECK(pair.at_initiator.error() == reason::frame_auth);
}

TEST_CASE("a hello that is sent back to its sender is refused")
{
    connected_pair pair;
    std::vector<std::uint8_t> bytes;
    pair.to_acceptor.append_frame(frame_type::hello, {}, bytes);
    pair.at_initiator.append(bytes);
    CHECK_FALSE(pair.at_initiator.next());
    CHECK(pair.at_initiator.error() == reason::frame_auth);
}

TEST_CASE("a peer with the same nonce is refused")
{
    auto nonce = samples::make_nonce(3);
    connected_pair pair({make_key(1)}, {make_key(1)}, nonce, nonce);
    CHECK_FALSE(pair.establish());
}

TEST_CASE("keys roll without a moment in which two instances refuse each other")
{
    auto older = make_key(1);
    auto newer = make_key(2);
    const shared_key_list steps[] = {
        {older}, {older, newer}, {newer, older}, {newer}};
    for (std::size_t n = 0; n + 1 < std::size(steps); ++n)
    {
        connected_pair rising(steps[n], steps[n + 1]);
        CHECK(rising.establish());
        connected_pair falling(steps[n + 1], steps[n]);
        REQUIRE(falling.establish());
        falling.at_acceptor.append(falling.frame());
        CHECK(falling.at_acceptor.next());
    }
    connected_pair strangers({older}, {newer});
    CHECK_FALSE(strangers.establish());
    CHECK(strangers.at_acceptor.error() == reason::frame_auth);
}

TEST_CASE("a key that is not 64 hexadecimal digits is refused")
{
    CHECK(parse_shared_key(std::string(64, 'a')));
    CHECK_FALSE(parse_shared_key(std::string(62, 'a')));
    CHECK_FALSE(parse_shared_key(std::string(63, 'a') + "g"));
    CHECK_FALSE(parse_shared_key(""));
}
