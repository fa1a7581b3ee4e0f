#include "message_encoder.h"

#include <messages_generated.h>

#include <algorithm>
#include <cassert>

namespace turmericlane
{

namespace
{

// Memory that an encoder keeps between messages. Larger messages, such as a
// whole bundle, are rare.
constexpr std::size_t max_retained_bytes = std::size_t{256} << 10U;

schema::sender_state convert(const message_header& source)
{
    return {source.nonce, source.bundle_version, source.sender};
}

schema::query_id convert(query_id source)
{
    return {source.nonce, source.counter};
}

schema::group_id convert(group_id source)
{
    return {source.service, source.partition};
}

schema::verdict convert(verdict source)
{
    return {
        static_cast<std::uint8_t>(source.result),
        static_cast<std::uint8_t>(source.cause)};
}

schema::rank convert(rank source)
{
    return static_cast<schema::rank>(source);
}

// The time left may be negative, because the deadline may pass before the
// message is encoded.
std::int64_t to_nanoseconds(duration source)
{
    return std::max<std::int64_t>(0, std::chrono::nanoseconds(source).count());
}

flatbuffers::Offset<schema::shard_reply>
convert(flatbuffers::FlatBufferBuilder& builder, const shard_reply& source)
{
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<schema::hit>>>
        hits;
    if (!source.hits.empty())
        hits = builder.CreateVector<flatbuffers::Offset<schema::hit>>(
            source.hits.size(),
            [&](std::size_t n)
            {
                auto document = builder.CreateString(source.hits[n].document);
                return schema::Createhit(
                    builder, document, source.hits[n].score);
            });
    auto id = convert(source.id);
    auto group = convert(source.group);
    auto state = convert(source.state);
    return schema::Createshard_reply(
        builder, &id, source.attempt, &group, &state, source.snapshot,
        source.epoch, source.served_snapshots.oldest,
        source.served_snapshots.newest, to_nanoseconds(source.queue_delay),
        to_nanoseconds(source.service_time), source.sub_requests_sent, hits);
}

flatbuffers::Offset<schema::member>
convert(flatbuffers::FlatBufferBuilder& builder, const member& source)
{
    auto address = builder.CreateString(source.listen_endpoint.address);
    auto data_centre = builder.CreateString(source.data_centre);
    return schema::Createmember(
        builder, address, source.listen_endpoint.peer_port,
        source.listen_endpoint.http_port, data_centre, source.index,
        source.nonce, source.incarnation,
        static_cast<schema::member_state>(source.state), source.capacity);
}

flatbuffers::Offset<
    flatbuffers::Vector<flatbuffers::Offset<schema::store_item>>>
convert(
    flatbuffers::FlatBufferBuilder& builder,
    const std::vector<store_item>& source)
{
    std::vector<flatbuffers::Offset<schema::store_item>> items;
    items.reserve(source.size());
    for (const auto& it : source)
    {
        const auto key = builder.CreateString(it.key);
        flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> value;
        if (it.value)
            value = builder.CreateVector(
                reinterpret_cast<const std::uint8_t*>(it.value->data()),
                it.value->size());
        items.push_back(schema::Createstore_item(
            builder, key, it.revision, !it.value.has_value(), value));
    }
    return builder.CreateVector(items);
}

} // namespace

message_encoder::message_encoder()
    : builder_(std::make_unique<flatbuffers::FlatBufferBuilder>())
{
}

message_encoder::~message_encoder() = default;

flatbuffers::FlatBufferBuilder& message_encoder::reset_builder()
{
    if (builder_->GetSize() > max_retained_bytes)
        builder_->Reset();
    else
        builder_->Clear();
    return *builder_;
}

template <class Table>
encoded_message message_encoder::finish_message(frame_type type, Table root)
{
    builder_->Finish(root);
    encoded_message result{
        type, {builder_->GetBufferPointer(), builder_->GetSize()}};
    assert(result.payload.size() % frame_payload_alignment_bytes == 0);
    if (result.payload.size() > frame_payload_limit_bytes)
        result.payload = {};
    return result;
}

encoded_message message_encoder::encode(
    const message_header& header, const hello_message& message)
{
    auto& builder = reset_builder();
    auto sender = convert(header);
    auto nonce =
        builder.CreateVector(message.nonce.data(), message.nonce.size());
    return finish_message(
        frame_type::hello, schema::Createhello(builder, &sender, nonce));
}

encoded_message message_encoder::encode(
    const message_header& header, const search_batch& message)
{
    auto& builder = reset_builder();
    auto sender = convert(header);
    auto id = convert(message.id);
    auto query = builder.CreateString(message.query);
    schema::batch_part* part = nullptr;
    auto parts =
        builder.CreateUninitializedVectorOfStructs(message.parts.size(), &part);
    for (const auto& it : message.parts)
        *part++ = schema::batch_part(it.epoch, convert(it.group));
    return finish_message(
        frame_type::search_batch,
        schema::Createsearch_batch(
            builder, &sender, &id, message.attempt,
            convert(message.request_rank), to_nanoseconds(message.time_left),
            message.snapshot, message.bundle_version, message.limit, query,
            parts));
}

encoded_message message_encoder::encode(
    const message_header& header, std::span<const shard_reply> replies)
{
    assert(!replies.empty());
    auto& builder = reset_builder();
    auto sender = convert(header);
    auto reply_vector =
        builder.CreateVector<flatbuffers::Offset<schema::shard_reply>>(
            replies.size(),
            [&](std::size_t n) { return convert(builder, replies[n]); });
    return finish_message(
        frame_type::shard_reply,
        schema::Createshard_reply_batch(builder, &sender, reply_vector));
}

encoded_message message_encoder::encode(
    const message_header& header, const cancel_message& message)
{
    auto& builder = reset_builder();
    auto sender = convert(header);
    auto id = convert(message.id);
    return finish_message(
        frame_type::cancel, schema::Createcancel(builder, &sender, &id));
}

encoded_message message_encoder::encode(
    const message_header& header, const booking_forward_message& message)
{
    auto& builder = reset_builder();
    auto sender = convert(header);
    const auto& request = message.request;
    auto ticket = builder.CreateString(to_text(request.booking_ticket));
    auto key = builder.CreateString(request.key);
    auto payload = builder.CreateString(request.payload);
    return finish_message(
        frame_type::booking_forward,
        schema::Createbooking_forward(
            builder, &sender, message.id, ticket, request.service, key, payload,
            convert(request.request_rank), to_nanoseconds(message.time_left)));
}

encoded_message message_encoder::encode(
    const message_header& header, const booking_execute_message& message)
{
    auto& builder = reset_builder();
    auto sender = convert(header);
    const auto& frame = message.frame;
    auto group = convert(frame.group);
    auto key = builder.CreateString(frame.key);
    auto payload = builder.CreateString(frame.payload);
    return finish_message(
        frame_type::booking_execute,
        schema::Createbooking_execute(
            builder, &sender, frame.id.issuer_nonce, frame.id.serial,
            frame.owner_nonce, &group, key, payload,
            convert(frame.request_rank), to_nanoseconds(frame.time_left)));
}

encoded_message message_encoder::encode(
    const message_header& header, const booking_reply_message& message)
{
    auto& builder = reset_builder();
    auto sender = convert(header);
    auto state = convert(message.answer.final_verdict);
    auto body = builder.CreateString(message.answer.body);
    return finish_message(
        frame_type::booking_reply,
        schema::Createbooking_reply(
            builder, &sender, message.is_forward_reply,
            message.forward_message_id, message.booking.issuer_nonce,
            message.booking.serial, &state, message.answer.status, body));
}

encoded_message message_encoder::encode(
    const message_header& header, const membership_message& message)
{
    auto& builder = reset_builder();
    auto sender = convert(header);
    auto sender_member = convert(builder, message.sender);
    auto members = builder.CreateVector<flatbuffers::Offset<schema::member>>(
        message.members.size(),
        [&](std::size_t n) { return convert(builder, message.members[n]); });
    schema::suspicion* suspicion = nullptr;
    auto suspicions = builder.CreateUninitializedVectorOfStructs(
        message.suspicions.size(), &suspicion);
    for (const auto& it : message.suspicions)
        *suspicion++ =
            schema::suspicion(it.reporter, it.subject, it.incarnation);
    return finish_message(
        frame_type::heartbeat,
        schema::Createheartbeat(
            builder, &sender, static_cast<schema::message_kind>(message.kind),
            sender_member, message.sequence, message.digest, members,
            suspicions));
}

encoded_message message_encoder::encode(
    const message_header& header, const bundle_request_message& message)
{
    auto& builder = reset_builder();
    auto sender = convert(header);
    return finish_message(
        frame_type::bundle_request,
        schema::Createbundle_request(
            builder, &sender, message.current_version));
}

encoded_message message_encoder::encode(
    const message_header& header, const bundle_delta_message& message)
{
    auto& builder = reset_builder();
    auto sender = convert(header);
    auto text = builder.CreateString(message.text);
    return finish_message(
        frame_type::bundle_delta,
        schema::Createbundle_delta(builder, &sender, text));
}

encoded_message message_encoder::encode(
    const message_header& header, const bundle_full_message& message)
{
    auto& builder = reset_builder();
    auto sender = convert(header);
    auto text = builder.CreateString(message.text);
    return finish_message(
        frame_type::bundle_full,
        schema::Createbundle_full(builder, &sender, text));
}

encoded_message message_encoder::encode(
    const message_header& header, const feed_message& message)
{
    auto& builder = reset_builder();
    const auto sender = convert(header);
    const auto items = convert(builder, message.items);
    flatbuffers::Offset<
        flatbuffers::Vector<flatbuffers::Offset<schema::store_item>>>
        retained_items;
    if (!message.retained_items.empty())
        retained_items = convert(builder, message.retained_items);
    flatbuffers::Optional<std::uint64_t> reported_era = flatbuffers::nullopt;
    if (message.era)
        reported_era = message.era->reported;
    return finish_message(
        frame_type::store_feed,
        schema::Createstore_feed(
            builder, &sender, message.base_revision, message.last_revision,
            message.is_complete, to_nanoseconds(message.age),
            to_nanoseconds(message.settling_time_left), items, reported_era,
            message.era.value_or(store_era{}).inferred, retained_items,
            to_nanoseconds(message.retention_time_left)));
}

encoded_message message_encoder::encode(
    const message_header& header, const departure_message& message)
{
    auto& builder = reset_builder();
    const auto sender = convert(header);
    const auto searcher = builder.CreateString(message.searcher_id);
    return finish_message(
        frame_type::searcher_departure,
        schema::Createsearcher_departure(
            builder, &sender, searcher, message.incarnation));
}

encoded_message message_encoder::encode(
    const message_header& header, const failure_report_message& message)
{
    auto& builder = reset_builder();
    const auto sender = convert(header);
    std::vector<flatbuffers::Offset<schema::failure_count>> counts;
    counts.reserve(message.counts.size());
    for (const auto& it : message.counts)
    {
        const auto searcher = builder.CreateString(it.searcher_id);
        counts.push_back(schema::Createfailure_count(
            builder, searcher, it.requests, it.failures));
    }
    const auto count_vector = builder.CreateVector(counts);
    return finish_message(
        frame_type::searcher_failures,
        schema::Createsearcher_failures(builder, &sender, count_vector));
}

} // namespace turmericlane
