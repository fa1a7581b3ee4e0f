#include "sample_messages.h"

#include <doctest/doctest.h>

#include <limits>

using namespace turmericlane;

namespace
{

// Encodes and decodes; the payload of the encoder is aligned like that of a
// frame.
template <class T, class Sent>
std::optional<received_message<T>> round_trip(const Sent& message)
{
    message_encoder encoder;
    auto encoded = encoder.encode(samples::header, message);
    CHECK(encoded.payload.size() % 8 == 0);
    std::vector<std::uint64_t> aligned((encoded.payload.size() + 7) / 8);
    auto* to = reinterpret_cast<std::uint8_t*>(aligned.data());
    std::copy(encoded.payload.begin(), encoded.payload.end(), to);
    auto made = decode_message<T>({to, encoded.payload.size()});
    if (made)
        CHECK(made->header == samples::header);
    return made;
}

std::optional<received_message<shard_reply_batch>>
round_trip_reply(const shard_reply& reply)
{
    return round_trip<shard_reply_batch>(std::span(&reply, 1));
}

} // namespace

TEST_CASE("a batch loses no field on its way to the owner")
{
    auto sent = samples::make_search_batch();
    auto got = round_trip<search_batch>(sent);
    REQUIRE(got);
    CHECK(got->body.id == sent.id);
    CHECK(got->body.attempt == sent.attempt);
    CHECK(got->body.request_rank == sent.request_rank);
    CHECK(got->body.time_left == sent.time_left);
    CHECK(got->body.snapshot == sent.snapshot);
    CHECK(got->body.bundle_version == sent.bundle_version);
    CHECK(got->body.limit == sent.limit);
    CHECK(got->body.query == sent.query);
    REQUIRE(got->body.parts.size() == 2);
    CHECK(got->body.parts[1].group == sent.parts[1].group);
    CHECK(got->body.parts[1].epoch == sent.parts[1].epoch);
}

TEST_CASE("several replies share a frame and lose no field")
{
    std::vector<shard_reply> sent(3, samples::make_shard_reply());
    sent[1].hits.clear();
    sent[2].state = verdict::refused(reason::queue_deadline);
    auto got =
        round_trip<shard_reply_batch>(std::span<const shard_reply>(sent));
    REQUIRE(got);
    REQUIRE(got->body.replies.size() == 3);
    const auto& first = got->body.replies[0];
    CHECK(first.id == sent[0].id);
    CHECK(first.attempt == sent[0].attempt);
    CHECK(first.group == sent[0].group);
    CHECK(first.state == sent[0].state);
    CHECK(first.snapshot == sent[0].snapshot);
    CHECK(first.epoch == sent[0].epoch);
    CHECK(first.served_snapshots.oldest == 4);
    CHECK(first.served_snapshots.newest == 5);
    CHECK(first.queue_delay == sent[0].queue_delay);
    CHECK(first.service_time == sent[0].service_time);
    CHECK(first.sub_requests_sent == 2);
    REQUIRE(first.hits.size() == 2);
    CHECK(first.hits[1].document == "hut-2");
    CHECK(first.hits[1].score == 0.5);
    CHECK(got->body.replies[1].hits.empty());
    CHECK(got->body.replies[2].state == sent[2].state);
}

TEST_CASE("a score that cannot be ordered is refused")
{
    auto sent = samples::make_shard_reply();
    sent.hits[0].score = std::numeric_limits<double>::quiet_NaN();
    CHECK_FALSE(round_trip_reply(sent));
}

TEST_CASE("an unknown reason or outcome is refused")
{
    auto sent = samples::make_shard_reply();
    sent.state.cause = static_cast<reason>(255);
    CHECK_FALSE(round_trip_reply(sent));
    sent.state = {static_cast<outcome>(3), reason::none};
    CHECK_FALSE(round_trip_reply(sent));
}

TEST_CASE("a batch whose deadline passed while it was encoded has no time left")
{
    auto sent = samples::make_search_batch();
    sent.time_left = -std::chrono::milliseconds(1);
    auto got = round_trip<search_batch>(sent);
    REQUIRE(got);
    CHECK(got->body.time_left == duration::zero());
}

TEST_CASE("bookings lose no field between caller, issuer and owner")
{
    const auto sent_forward = samples::make_forward();
    auto forward = round_trip<booking_forward_message>(sent_forward);
    REQUIRE(forward);
    CHECK(forward->body.id == 12);
    CHECK(
        forward->body.request.booking_ticket ==
        sent_forward.request.booking_ticket);
    CHECK(forward->body.request.service == 4);
    CHECK(forward->body.request.key == "pitch 9");
    CHECK(forward->body.request.payload == "{}");
    CHECK(forward->body.request.request_rank == rank::urgent);
    CHECK(forward->body.time_left == sent_forward.time_left);

    const auto sent_execute = samples::make_execute();
    auto execute = round_trip<booking_execute_message>(sent_execute);
    REQUIRE(execute);
    const auto& frame = execute->body.frame;
    CHECK(frame.id == sent_execute.frame.id);
    CHECK(frame.owner_nonce == 55);
    CHECK(frame.group == sent_execute.frame.group);
    CHECK(frame.key == "pitch 9");
    CHECK(frame.payload == "{}");
    CHECK(frame.request_rank == rank::ordinary);
    CHECK(frame.time_left == sent_execute.frame.time_left);

    auto sent_reply = samples::make_reply();
    auto reply = round_trip<booking_reply_message>(sent_reply);
    REQUIRE(reply);
    CHECK_FALSE(reply->body.forwarded);
    CHECK(reply->body.booking == sent_reply.booking);
    CHECK(reply->body.answer == sent_reply.answer);
    sent_reply.forwarded = true;
    sent_reply.forward = 8;
    reply = round_trip<booking_reply_message>(sent_reply);
    REQUIRE(reply);
    CHECK(reply->body.forwarded);
    CHECK(reply->body.forward == 8);
}

TEST_CASE("a forwarded booking with a malformed ticket is refused")
{
    auto sent = samples::make_forward();
    sent.request.booking_ticket.issuer_address = "a b/c";
    const auto text = to_text(sent.request.booking_ticket);
    CHECK(
        round_trip<booking_forward_message>(sent).has_value() ==
        parse_ticket(text).has_value());
}

TEST_CASE("membership, versions, hellos and cancels survive the round trip")
{
    auto sent = samples::make_heartbeat();
    auto beat = round_trip<membership_message>(sent);
    REQUIRE(beat);
    CHECK(beat->body.kind == sent.kind);
    CHECK(beat->body.sequence == 9);
    CHECK(beat->body.digest == 77);
    CHECK(beat->body.sender == sent.sender);
    CHECK(beat->body.members == sent.members);
    CHECK(beat->body.suspicions == sent.suspicions);

    auto request =
        round_trip<bundle_request_message>(bundle_request_message{40});
    REQUIRE(request);
    CHECK(request->body.have_version == 40);
    auto delta = round_trip<bundle_delta_message>(bundle_delta_message{"[]"});
    REQUIRE(delta);
    CHECK(delta->body.text == "[]");
    auto full = round_trip<bundle_full_message>(bundle_full_message{"{}"});
    REQUIRE(full);
    CHECK(full->body.text == "{}");

    feed_message feed;
    feed.base_revision = 7;
    feed.last_revision = 9;
    feed.is_complete = true;
    feed.age = std::chrono::milliseconds(3);
    feed.settling_time_left = std::chrono::milliseconds(4);
    feed.items = {
        {"a/written", 8, std::string("\0x", 2)},
        {"a/empty", 9, std::string()},
        {"a/removed", 9, std::nullopt}};
    auto fed = round_trip<feed_message>(feed);
    REQUIRE(fed);
    CHECK(fed->body == feed);

    hello_message hello{make_session_nonce()};
    auto greeted = round_trip<hello_message>(hello);
    REQUIRE(greeted);
    CHECK(greeted->body == hello);
    auto cancel = round_trip<cancel_message>(cancel_message{{3, 4}});
    REQUIRE(cancel);
    CHECK(cancel->body.id == query_id{3, 4});
}

TEST_CASE("a message that is too large for a frame is not encoded")
{
    message_encoder encoder;
    bundle_full_message sent{std::string(frame_payload_limit_bytes, 'x')};
    CHECK(encoder.encode(samples::header, sent).payload.empty());
    CHECK_FALSE(
        encoder.encode(samples::header, bundle_full_message{}).payload.empty());
}
