#include "session_pair.h"

using namespace turmericlane;
using samples::make_key;
using samples::session_pair;

namespace
{

// Returns the error of the acceptor for bytes without a valid frame.
reason error_of(session_pair& pair, const std::vector<std::uint8_t>& bytes)
{
    pair.acceptor_decoder.append(bytes);
    CHECK_FALSE(pair.acceptor_decoder.next());
    return pair.acceptor_decoder.error();
}

reason error_after_change(std::size_t position, std::uint8_t new_byte)
{
    session_pair pair;
    REQUIRE(pair.establish());
    auto bytes = pair.make_frame();
    bytes[position] = new_byte;
    return error_of(pair, bytes);
}

} // namespace

TEST_CASE("a frame that arrives byte by byte is decoded")
{
    session_pair pair;
    REQUIRE(pair.establish());
    auto bytes = pair.make_frame(24);
    for (std::size_t n = 0; n < bytes.size(); ++n)
    {
        CHECK_FALSE(pair.acceptor_decoder.next());
        CHECK(pair.acceptor_decoder.has_partial_frame() == (n > 0));
        pair.acceptor_decoder.append({&bytes[n], 1});
    }
    auto decoded_frame = pair.acceptor_decoder.next();
    REQUIRE(decoded_frame);
    CHECK(decoded_frame->type == frame_type::heartbeat);
    CHECK(decoded_frame->payload.size() == 24);
    CHECK_FALSE(pair.acceptor_decoder.has_partial_frame());
    CHECK(pair.acceptor_decoder.error() == reason::none);
}

TEST_CASE(
    "frames that arrive together are decoded one by one, with aligned payloads")
{
    session_pair pair;
    REQUIRE(pair.establish());
    std::vector<std::uint8_t> bytes;
    for (std::size_t n = 0; n < 100; ++n)
    {
        auto frame = pair.make_frame(8 * n);
        bytes.insert(bytes.end(), frame.begin(), frame.end());
    }
    pair.acceptor_decoder.append(bytes);
    for (std::size_t n = 0; n < 100; ++n)
    {
        auto decoded_frame = pair.acceptor_decoder.next();
        REQUIRE(decoded_frame);
        CHECK(decoded_frame->payload.size() == 8 * n);
        auto address =
            reinterpret_cast<std::uintptr_t>(decoded_frame->payload.data());
        CHECK(address % 8 == 0);
    }
    CHECK_FALSE(pair.acceptor_decoder.next());
}

TEST_CASE(
    "a frame with the largest payload is decoded through prepare and commit")
{
    session_pair pair;
    REQUIRE(pair.establish());
    auto bytes = pair.make_frame(frame_payload_limit_bytes);
    std::span<const std::uint8_t> remaining_bytes(bytes);
    while (!remaining_bytes.empty())
    {
        CHECK_FALSE(pair.acceptor_decoder.next());
        auto space = pair.acceptor_decoder.prepare();
        auto n = std::min(space.size(), remaining_bytes.size());
        std::copy_n(remaining_bytes.begin(), n, space.begin());
        pair.acceptor_decoder.commit(n);
        remaining_bytes = remaining_bytes.subspan(n);
    }
    auto decoded_frame = pair.acceptor_decoder.next();
    REQUIRE(decoded_frame);
    CHECK(decoded_frame->payload.size() == frame_payload_limit_bytes);
}

TEST_CASE("each kind of damage leads to its own reason")
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

TEST_CASE(
    "a decoder does not allocate the announced size before the bytes arrive")
{
    session_pair pair;
    REQUIRE(pair.establish());
    auto bytes = pair.make_frame(frame_payload_limit_bytes);
    pair.acceptor_decoder.append(std::span(bytes).first(16));
    CHECK(pair.acceptor_decoder.prepare().size() < std::size_t{1} << 20U);
}

TEST_CASE("an unauthenticated peer cannot announce a large frame")
{
    session_pair pair;
    auto bytes = pair.make_frame(2048);
    CHECK(error_of(pair, bytes) == reason::frame_too_large);
}

TEST_CASE("a decoder returns no frame after an error")
{
    session_pair pair;
    REQUIRE(pair.establish());
    auto bytes = pair.make_frame();
    auto valid_frame = pair.make_frame();
    bytes.back() ^= 1U;
    CHECK(error_of(pair, bytes) == reason::frame_auth);
    CHECK(error_of(pair, valid_frame) == reason::frame_auth);
}

TEST_CASE("a repeated, skipped or swapped frame is refused")
{
    session_pair pair;
    REQUIRE(pair.establish());
    auto first_frame = pair.make_frame();
    SUBCASE("repeated")
    {
        pair.acceptor_decoder.append(first_frame);
        CHECK(pair.acceptor_decoder.next());
        CHECK(error_of(pair, first_frame) == reason::frame_replayed);
    }
    SUBCASE("skipped or swapped")
    {
        CHECK(error_of(pair, pair.make_frame()) == reason::frame_replayed);
    }
}

TEST_CASE("a frame recorded in another session is refused")
{
    session_pair recorded_pair;
    REQUIRE(recorded_pair.establish());
    auto bytes = recorded_pair.make_frame();
    session_pair pair(
        {make_key(1)}, {make_key(1)}, samples::make_nonce(3),
        samples::make_nonce(5));
    REQUIRE(pair.establish());
    CHECK(error_of(pair, bytes) == reason::frame_auth);
}

TEST_CASE("a frame that is sent back to its sender is refused")
{
    session_pair pair;
    REQUIRE(pair.establish());
    pair.initiator_decoder.append(pair.make_frame());
    CHECK_FALSE(pair.initiator_decoder.next());
    CHECK(pair.initiator_decoder.error() == reason::frame_auth);
}

TEST_CASE("a hello that is sent back to its sender is refused")
{
    session_pair pair;
    std::vector<std::uint8_t> bytes;
    pair.initiator_encoder.append_frame(frame_type::hello, {}, bytes);
    pair.initiator_decoder.append(bytes);
    CHECK_FALSE(pair.initiator_decoder.next());
    CHECK(pair.initiator_decoder.error() == reason::frame_auth);
}

TEST_CASE("a peer with the same nonce is refused")
{
    auto nonce = samples::make_nonce(3);
    session_pair pair({make_key(1)}, {make_key(1)}, nonce, nonce);
    CHECK_FALSE(pair.establish());
}

TEST_CASE("instances accept each other at each step of a key rotation")
{
    auto old_key = make_key(1);
    auto new_key = make_key(2);
    const shared_key_list steps[] = {
        {old_key}, {old_key, new_key}, {new_key, old_key}, {new_key}};
    for (std::size_t n = 0; n + 1 < std::size(steps); ++n)
    {
        session_pair older_initiator(steps[n], steps[n + 1]);
        CHECK(older_initiator.establish());
        session_pair newer_initiator(steps[n + 1], steps[n]);
        REQUIRE(newer_initiator.establish());
        newer_initiator.acceptor_decoder.append(newer_initiator.make_frame());
        CHECK(newer_initiator.acceptor_decoder.next());
    }
    session_pair unrelated_pair({old_key}, {new_key});
    CHECK_FALSE(unrelated_pair.establish());
    CHECK(unrelated_pair.acceptor_decoder.error() == reason::frame_auth);
}

TEST_CASE("a key that is not 64 hexadecimal digits is refused")
{
    CHECK(parse_shared_key(std::string(64, 'a')));
    CHECK_FALSE(parse_shared_key(std::string(62, 'a')));
    CHECK_FALSE(parse_shared_key(std::string(63, 'a') + "g"));
    CHECK_FALSE(parse_shared_key(""));
}
