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
    CHECK(got->body.work == sent.work);
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
    CHECK(first.served.oldest == 4);
    CHECK(first.served.newest == 5);
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
    sent.state.why = static_cast<reason>(255);
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
    auto forward = round_trip<booking_forward>(samples::forward);
    REQUIRE(forward);
    CHECK(forward->body.id == samples::forward.id);
    CHECK(forward->body.caller_request == "caller-1");
    CHECK(forward->body.ticket == "ticket");
    CHECK(forward->body.service == "fee_ledger");
    CHECK(forward->body.key == "pitch 9");
    CHECK(forward->body.payload == "{}");
    CHECK(forward->body.work == rank::urgent);
    CHECK(forward->body.time_left == samples::forward.time_left);

    auto execute = round_trip<booking_execute>(samples::execute);
    REQUIRE(execute);
    CHECK(execute->body.id == samples::execute.id);
    CHECK(execute->body.group == samples::execute.group);
    CHECK(execute->body.request == "request-1");
    CHECK(execute->body.key == "pitch 9");
    CHECK(execute->body.payload == "{}");
    CHECK(execute->body.time_left == samples::execute.time_left);

    auto reply = round_trip<booking_reply>(samples::reply);
    REQUIRE(reply);
    CHECK(reply->body.id == samples::reply.id);
    CHECK(reply->body.state == samples::reply.state);
    CHECK(reply->body.result == "held");
}

TEST_CASE("membership, versions, hellos and cancels survive the round trip")
{
    auto sent = samples::make_heartbeat();
    auto beat = round_trip<heartbeat>(sent);
    REQUIRE(beat);
    CHECK(beat->body.number == 9);
    CHECK_FALSE(beat->body.reply);
    CHECK(beat->body.full_state);
    CHECK(beat->body.members == sent.members);

    auto request = round_trip<bundle_request>(bundle_request{40});
    REQUIRE(request);
    CHECK(request->body.have_version == 40);
    auto delta =
        round_trip<bundle_delta>(bundle_delta{40, 41, "[]", "5160", "01"});
    REQUIRE(delta);
    CHECK(delta->body.from_version == 40);
    CHECK(delta->body.to_version == 41);
    CHECK(delta->body.patch == "[]");
    CHECK(delta->body.signature == "5160");
    CHECK(delta->body.key_id == "01");
    auto full = round_trip<bundle_full>(bundle_full{41, "{}"});
    REQUIRE(full);
    CHECK(full->body.version == 41);
    CHECK(full->body.envelope == "{}");

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
    bundle_full sent{1, std::string(frame_payload_limit_bytes, 'x')};
    CHECK(encoder.encode(samples::header, sent).payload.empty());
    CHECK_FALSE(encoder.encode(samples::header, bundle_full{}).payload.empty());
}
