#include "message_encoder.h"

#include <messages_generated.h>

#include <algorithm>
#include <cassert>

namespace turmericlane
{

namespace
{

// Memory that an encoder keeps; a larger message, such as a whole bundle, is
// rare.
constexpr std::size_t kept_bytes = std::size_t{256} << 10U;

schema::sender_state convert(const message_header& from)
{
    return {from.nonce, from.bundle_version, from.sender};
}

schema::query_id convert(query_id from)
{
    return {from.nonce, from.counter};
}

schema::group_id convert(group_id from)
{
    return {from.service, from.partition};
}

schema::verdict convert(verdict from)
{
    return {
        static_cast<std::uint8_t>(from.result),
        static_cast<std::uint8_t>(from.cause)};
}

schema::rank convert(rank from)
{
    return static_cast<schema::rank>(from);
}

// A deadline may pass between its computation and the encoding.
std::int64_t nanoseconds(duration from)
{
    return std::max<std::int64_t>(0, std::chrono::nanoseconds(from).count());
}

flatbuffers::Offset<schema::shard_reply>
convert(flatbuffers::FlatBufferBuilder& to, const shard_reply& from)
{
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<schema::hit>>>
        hits;
    if (!from.hits.empty())
        hits = to.CreateVector<flatbuffers::Offset<schema::hit>>(
            from.hits.size(),
            [&](std::size_t n)
            {
                auto document = to.CreateString(from.hits[n].document);
                return schema::Createhit(to, document, from.hits[n].score);
            });
    auto id = convert(from.id);
    auto group = convert(from.group);
    auto state = convert(from.state);
    return schema::Createshard_reply(
        to, &id, from.attempt, &group, &state, from.snapshot, from.epoch,
        from.served_snapshots.oldest, from.served_snapshots.newest,
        nanoseconds(from.queue_delay), nanoseconds(from.service_time),
        from.sub_requests_sent, hits);
}

flatbuffers::Offset<schema::member>
convert(flatbuffers::FlatBufferBuilder& to, const member& from)
{
    auto address = to.CreateString(from.listen_endpoint.address);
    auto data_centre = to.CreateString(from.data_centre);
    return schema::Createmember(
        to, address, from.listen_endpoint.peer_port,
        from.listen_endpoint.http_port, data_centre, from.index, from.nonce,
        from.incarnation, static_cast<schema::member_state>(from.state),
        from.capacity);
}

} // namespace

message_encoder::message_encoder()
    : builder_(std::make_unique<flatbuffers::FlatBufferBuilder>())
{
}

message_encoder::~message_encoder() = default;

flatbuffers::FlatBufferBuilder& message_encoder::begin()
{
    if (builder_->GetSize() > kept_bytes)
        builder_->Reset();
    else
        builder_->Clear();
    return *builder_;
}

template <class Table>
encoded_message message_encoder::finish(frame_type type, Table root)
{
    builder_->Finish(root);
    encoded_message made{
        type, {builder_->GetBufferPointer(), builder_->GetSize()}};
    assert(made.payload.size() % frame_payload_alignment_bytes == 0);
    if (made.payload.size() > frame_payload_limit_bytes)
        made.payload = {};
    return made;
}

encoded_message message_encoder::encode(
    const message_header& header, const hello_message& message)
{
    auto& to = begin();
    auto sender = convert(header);
    auto nonce =
        to.CreateVector(message.session.data(), message.session.size());
    return finish(frame_type::hello, schema::Createhello(to, &sender, nonce));
}

encoded_message message_encoder::encode(
    const message_header& header, const search_batch& message)
{
    auto& to = begin();
    auto sender = convert(header);
    auto id = convert(message.id);
    auto query = to.CreateString(message.query);
    schema::batch_part* part = nullptr;
    auto parts =
        to.CreateUninitializedVectorOfStructs(message.parts.size(), &part);
    for (const auto& it : message.parts)
        *part++ = schema::batch_part(it.epoch, convert(it.group));
    return finish(
        frame_type::search_batch,
        schema::Createsearch_batch(
            to, &sender, &id, message.attempt, convert(message.request_rank),
            nanoseconds(message.time_left), message.snapshot,
            message.bundle_version, message.limit, query, parts));
}

encoded_message message_encoder::encode(
    const message_header& header, std::span<const shard_reply> replies)
{
    assert(!replies.empty());
    auto& to = begin();
    auto sender = convert(header);
    auto converted = to.CreateVector<flatbuffers::Offset<schema::shard_reply>>(
        replies.size(), [&](std::size_t n) { return convert(to, replies[n]); });
    return finish(
        frame_type::shard_reply,
        schema::Createshard_reply_batch(to, &sender, converted));
}

encoded_message message_encoder::encode(
    const message_header& header, const cancel_message& message)
{
    auto& to = begin();
    auto sender = convert(header);
    auto id = convert(message.id);
    return finish(frame_type::cancel, schema::Createcancel(to, &sender, &id));
}

encoded_message message_encoder::encode(
    const message_header& header, const booking_forward_message& message)
{
    auto& to = begin();
    auto sender = convert(header);
    const auto& request = message.request;
    auto ticket = to.CreateString(to_text(request.booking_ticket));
    auto key = to.CreateString(request.key);
    auto payload = to.CreateString(request.payload);
    return finish(
        frame_type::booking_forward,
        schema::Createbooking_forward(
            to, &sender, message.id, ticket, request.service, key, payload,
            convert(request.request_rank), nanoseconds(message.time_left)));
}

encoded_message message_encoder::encode(
    const message_header& header, const booking_execute_message& message)
{
    auto& to = begin();
    auto sender = convert(header);
    const auto& frame = message.frame;
    auto group = convert(frame.group);
    auto key = to.CreateString(frame.key);
    auto payload = to.CreateString(frame.payload);
    return finish(
        frame_type::booking_execute,
        schema::Createbooking_execute(
            to, &sender, frame.id.issuer_nonce, frame.id.serial,
            frame.owner_nonce, &group, key, payload,
            convert(frame.request_rank), nanoseconds(frame.time_left)));
}

encoded_message message_encoder::encode(
    const message_header& header, const booking_reply_message& message)
{
    auto& to = begin();
    auto sender = convert(header);
    auto state = convert(message.answer.final_verdict);
    auto body = to.CreateString(message.answer.body);
    return finish(
        frame_type::booking_reply,
        schema::Createbooking_reply(
            to, &sender, message.forwarded, message.forward,
            message.booking.issuer_nonce, message.booking.serial, &state,
            message.answer.status, body));
}

encoded_message message_encoder::encode(
    const message_header& header, const membership_message& message)
{
    auto& to = begin();
    auto sender = convert(header);
    auto self = convert(to, message.sender);
    auto members = to.CreateVector<flatbuffers::Offset<schema::member>>(
        message.members.size(),
        [&](std::size_t n) { return convert(to, message.members[n]); });
    schema::suspicion* suspicion = nullptr;
    auto suspicions = to.CreateUninitializedVectorOfStructs(
        message.suspicions.size(), &suspicion);
    for (const auto& it : message.suspicions)
        *suspicion++ =
            schema::suspicion(it.reporter, it.subject, it.incarnation);
    return finish(
        frame_type::heartbeat,
        schema::Createheartbeat(
            to, &sender, static_cast<schema::message_kind>(message.kind), self,
            message.sequence, message.digest, members, suspicions));
}

encoded_message message_encoder::encode(
    const message_header& header, const bundle_request_message& message)
{
    auto& to = begin();
    auto sender = convert(header);
    return finish(
        frame_type::bundle_request,
        schema::Createbundle_request(to, &sender, message.have_version));
}

encoded_message message_encoder::encode(
    const message_header& header, const bundle_delta_message& message)
{
    auto& to = begin();
    auto sender = convert(header);
    auto text = to.CreateString(message.text);
    return finish(
        frame_type::bundle_delta,
        schema::Createbundle_delta(to, &sender, text));
}

encoded_message message_encoder::encode(
    const message_header& header, const bundle_full_message& message)
{
    auto& to = begin();
    auto sender = convert(header);
    auto text = to.CreateString(message.text);
    return finish(
        frame_type::bundle_full, schema::Createbundle_full(to, &sender, text));
}

encoded_message message_encoder::encode(
    const message_header& header, const feed_message& message)
{
    auto& to = begin();
    const auto sender = convert(header);
    std::vector<flatbuffers::Offset<schema::store_item>> items;
    items.reserve(message.items.size());
    for (const auto& it : message.items)
    {
        const auto key = to.CreateString(it.key);
        flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> value;
        if (it.value)
            value = to.CreateVector(
                reinterpret_cast<const std::uint8_t*>(it.value->data()),
                it.value->size());
        items.push_back(schema::Createstore_item(
            to, key, it.revision, !it.value.has_value(), value));
    }
    const auto list = to.CreateVector(items);
    return finish(
        frame_type::store_feed,
        schema::Createstore_feed(
            to, &sender, message.base_revision, message.last_revision,
            message.is_complete, nanoseconds(message.age),
            nanoseconds(message.settling_time_left), list));
}

} // namespace turmericlane
