#include "message_decoder.h"

#include <messages_generated.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace turmericlane
{

namespace
{

// Returns the root table, or null if the payload fails the FlatBuffers
// verifier. No field may be read before that check.
template <class Table>
const Table* get_verified_root(std::span<const std::uint8_t> payload)
{
    assert(reinterpret_cast<std::uintptr_t>(payload.data()) % 8 == 0);
    flatbuffers::Verifier verifier(payload.data(), payload.size());
    if (!verifier.VerifyBuffer<Table>(nullptr))
        return nullptr;
    return flatbuffers::GetRoot<Table>(payload.data());
}

message_header convert(const schema::sender_state& source)
{
    return {source.nonce(), source.ordinal(), source.bundle_version()};
}

query_id convert(const schema::query_id& source)
{
    return {source.nonce(), source.counter()};
}

group_id convert(const schema::group_id& source)
{
    return {source.service(), source.partition()};
}

bool convert_field(rank& target, schema::rank source)
{
    if (static_cast<std::size_t>(source) >= rank_count)
        return false;
    target = static_cast<rank>(source);
    return true;
}

bool convert_field(verdict& target, const schema::verdict& source)
{
    auto parsed_cause = parse_reason(source.why());
    if (!parsed_cause ||
        source.outcome() > static_cast<std::uint8_t>(outcome::ran))
        return false;
    target = {static_cast<outcome>(source.outcome()), *parsed_cause};
    return true;
}

bool convert_field(duration& target, std::int64_t source_ns)
{
    if (source_ns < 0)
        return false;
    target = std::chrono::nanoseconds(source_ns);
    return true;
}

bool convert_field(hit& target, const schema::hit& source)
{
    // NaN can't be ordered among the scores of other hits.
    if (!std::isfinite(source.score()))
        return false;
    target.document = source.document()->str();
    target.score = source.score();
    return true;
}

bool convert_field(shard_reply& target, const schema::shard_reply& source)
{
    target.id = convert(*source.id());
    target.attempt = source.attempt();
    target.group = convert(*source.group());
    target.snapshot = source.snapshot();
    target.epoch = source.epoch();
    target.served_snapshots = {source.oldest(), source.newest()};
    target.sub_requests_sent = source.sub_requests_sent();
    if (!convert_field(target.state, *source.state()) ||
        !convert_field(target.queue_delay, source.queue_delay_ns()) ||
        !convert_field(target.service_time, source.service_time_ns()))
        return false;
    if (source.hits() == nullptr)
        return true;
    target.hits.resize(source.hits()->size());
    for (flatbuffers::uoffset_t n = 0; n < source.hits()->size(); ++n)
        if (!convert_field(target.hits[n], *source.hits()->Get(n)))
            return false;
    return true;
}

bool convert_field(member& target, const schema::member& source)
{
    if (source.state() > schema::member_state::MAX)
        return false;
    target.listen_endpoint.address = source.address()->str();
    target.listen_endpoint.peer_port = source.peer_port();
    target.listen_endpoint.http_port = source.http_port();
    target.data_centre = source.data_centre()->str();
    target.index = source.ordinal();
    target.nonce = source.nonce();
    target.incarnation = source.incarnation();
    target.state = static_cast<member_state>(source.state());
    target.capacity = source.capacity();
    return true;
}

std::vector<store_item> convert(
    const flatbuffers::Vector<flatbuffers::Offset<schema::store_item>>* source)
{
    std::vector<store_item> result;
    if (source == nullptr)
        return result;
    result.reserve(source->size());
    for (const auto* it : *source)
    {
        store_item item;
        item.key = it->key()->str();
        item.revision = it->revision();
        if (!it->removed())
        {
            item.value.emplace();
            if (it->value() != nullptr)
                item.value->assign(it->value()->begin(), it->value()->end());
        }
        result.push_back(std::move(item));
    }
    return result;
}

} // namespace

template <>
std::optional<received_message<hello_message>>
decode_message(std::span<const std::uint8_t> payload)
{
    const auto* source = get_verified_root<schema::hello>(payload);
    if (source == nullptr)
        return std::nullopt;
    received_message<hello_message> result{convert(*source->sender()), {}};
    if (source->session_nonce()->size() != result.body.nonce.size())
        return std::nullopt;
    std::copy_n(
        source->session_nonce()->data(), result.body.nonce.size(),
        result.body.nonce.begin());
    return result;
}

template <>
std::optional<received_message<search_batch>>
decode_message(std::span<const std::uint8_t> payload)
{
    const auto* source = get_verified_root<schema::search_batch>(payload);
    if (source == nullptr)
        return std::nullopt;
    received_message<search_batch> result{convert(*source->sender()), {}};
    auto& target = result.body;
    target.id = convert(*source->id());
    target.attempt = source->attempt();
    target.snapshot = source->snapshot();
    target.bundle_version = source->bundle_version();
    target.limit = source->limit();
    target.query = source->query()->str();
    if (!convert_field(target.request_rank, source->rank()) ||
        !convert_field(target.time_left, source->time_left_ns()))
        return std::nullopt;
    // The verifier checks the alignment of a vector's length, but not that of
    // its elements.
    auto address = reinterpret_cast<std::uintptr_t>(source->parts()->Data());
    if (address % alignof(schema::batch_part) != 0)
        return std::nullopt;
    target.parts.reserve(source->parts()->size());
    for (const auto* it : *source->parts())
        target.parts.push_back({convert(it->group()), it->epoch()});
    return result;
}

template <>
std::optional<received_message<shard_reply_batch>>
decode_message(std::span<const std::uint8_t> payload)
{
    const auto* source = get_verified_root<schema::shard_reply_batch>(payload);
    if (source == nullptr)
        return std::nullopt;
    received_message<shard_reply_batch> result{convert(*source->sender()), {}};
    auto& target = result.body.replies;
    target.resize(source->replies()->size());
    for (flatbuffers::uoffset_t n = 0; n < source->replies()->size(); ++n)
        if (!convert_field(target[n], *source->replies()->Get(n)))
            return std::nullopt;
    return result;
}

template <>
std::optional<received_message<cancel_message>>
decode_message(std::span<const std::uint8_t> payload)
{
    const auto* source = get_verified_root<schema::cancel>(payload);
    if (source == nullptr)
        return std::nullopt;
    return received_message<cancel_message>{
        convert(*source->sender()), {convert(*source->id())}};
}

template <>
std::optional<received_message<booking_forward_message>>
decode_message(std::span<const std::uint8_t> payload)
{
    const auto* source = get_verified_root<schema::booking_forward>(payload);
    if (source == nullptr)
        return std::nullopt;
    const auto parsed_ticket = parse_ticket(source->ticket()->string_view());
    if (!parsed_ticket)
        return std::nullopt;
    received_message<booking_forward_message> result{
        convert(*source->sender()), {}};
    auto& target = result.body;
    target.id = source->id();
    target.request.booking_ticket = *parsed_ticket;
    target.request.service = source->service();
    target.request.key = source->key()->str();
    target.request.payload = source->payload()->str();
    if (!convert_field(target.request.request_rank, source->rank()) ||
        !convert_field(target.time_left, source->time_left_ns()))
        return std::nullopt;
    return result;
}

template <>
std::optional<received_message<booking_execute_message>>
decode_message(std::span<const std::uint8_t> payload)
{
    const auto* source = get_verified_root<schema::booking_execute>(payload);
    if (source == nullptr)
        return std::nullopt;
    received_message<booking_execute_message> result{
        convert(*source->sender()), {}};
    auto& target = result.body.frame;
    target.id = {source->issuer_nonce(), source->serial()};
    target.owner_nonce = source->owner_nonce();
    target.group = convert(*source->group());
    target.key = source->key()->str();
    target.payload = source->payload()->str();
    if (!convert_field(target.request_rank, source->rank()) ||
        !convert_field(target.time_left, source->time_left_ns()))
        return std::nullopt;
    return result;
}

template <>
std::optional<received_message<booking_reply_message>>
decode_message(std::span<const std::uint8_t> payload)
{
    const auto* source = get_verified_root<schema::booking_reply>(payload);
    if (source == nullptr)
        return std::nullopt;
    received_message<booking_reply_message> result{
        convert(*source->sender()), {}};
    auto& target = result.body;
    target.is_forward_reply = source->forwarded();
    target.forward_message_id = source->forward_id();
    target.booking = {source->issuer_nonce(), source->serial()};
    target.answer.status = source->status();
    target.answer.body = source->body()->str();
    if (!convert_field(target.answer.final_verdict, *source->state()))
        return std::nullopt;
    return result;
}

template <>
std::optional<received_message<membership_message>>
decode_message(std::span<const std::uint8_t> payload)
{
    const auto* source = get_verified_root<schema::heartbeat>(payload);
    if (source == nullptr || source->kind() > schema::message_kind::MAX)
        return std::nullopt;
    received_message<membership_message> result{convert(*source->sender()), {}};
    auto& target = result.body;
    target.kind = static_cast<membership_message::type>(source->kind());
    target.sequence = source->sequence();
    target.digest = source->digest();
    if (!convert_field(target.sender, *source->self()))
        return std::nullopt;
    if (source->members() != nullptr)
    {
        target.members.resize(source->members()->size());
        for (flatbuffers::uoffset_t n = 0; n < source->members()->size(); ++n)
            if (!convert_field(target.members[n], *source->members()->Get(n)))
                return std::nullopt;
    }
    if (source->suspicions() != nullptr)
        for (const auto* it : *source->suspicions())
            target.suspicions.push_back(
                {it->reporter(), it->subject(), it->incarnation()});
    return result;
}

template <>
std::optional<received_message<bundle_request_message>>
decode_message(std::span<const std::uint8_t> payload)
{
    const auto* source = get_verified_root<schema::bundle_request>(payload);
    if (source == nullptr)
        return std::nullopt;
    return received_message<bundle_request_message>{
        convert(*source->sender()), {source->have_version()}};
}

template <>
std::optional<received_message<bundle_delta_message>>
decode_message(std::span<const std::uint8_t> payload)
{
    const auto* source = get_verified_root<schema::bundle_delta>(payload);
    if (source == nullptr)
        return std::nullopt;
    return received_message<bundle_delta_message>{
        convert(*source->sender()), {source->text()->str()}};
}

template <>
std::optional<received_message<bundle_full_message>>
decode_message(std::span<const std::uint8_t> payload)
{
    const auto* source = get_verified_root<schema::bundle_full>(payload);
    if (source == nullptr)
        return std::nullopt;
    return received_message<bundle_full_message>{
        convert(*source->sender()), {source->text()->str()}};
}

template <>
std::optional<received_message<feed_message>>
decode_message(std::span<const std::uint8_t> payload)
{
    const auto* source = get_verified_root<schema::store_feed>(payload);
    if (source == nullptr || source->age_ns() < 0 ||
        source->settling_ns() < 0 || source->retention_ns() < 0)
        return std::nullopt;
    received_message<feed_message> result{convert(*source->sender()), {}};
    auto& target = result.body;
    target.base_revision = source->from();
    target.last_revision = source->through();
    target.is_complete = source->complete();
    target.age = std::chrono::nanoseconds(source->age_ns());
    target.settling_time_left = std::chrono::nanoseconds(source->settling_ns());
    target.items = convert(source->items());
    if (const auto reported_era = source->reported_era())
        target.era = store_era{*reported_era, source->inferred_era()};
    target.retained_items = convert(source->retained());
    target.retention_time_left =
        std::chrono::nanoseconds(source->retention_ns());
    return result;
}

template <>
std::optional<received_message<departure_message>>
decode_message(std::span<const std::uint8_t> payload)
{
    const auto* source = get_verified_root<schema::searcher_departure>(payload);
    if (source == nullptr || source->searcher()->size() == 0)
        return std::nullopt;
    return received_message<departure_message>{
        convert(*source->sender()),
        {source->searcher()->str(), source->incarnation()}};
}

template <>
std::optional<received_message<failure_report_message>>
decode_message(std::span<const std::uint8_t> payload)
{
    const auto* source = get_verified_root<schema::searcher_failures>(payload);
    if (source == nullptr)
        return std::nullopt;
    failure_report_message message;
    message.counts.reserve(source->counts()->size());
    for (const auto* it : *source->counts())
    {
        if (it->searcher()->size() == 0 || it->failures() > it->requests())
            return std::nullopt;
        message.counts.push_back(
            {it->searcher()->str(), it->requests(), it->failures()});
    }
    return received_message<failure_report_message>{
        convert(*source->sender()), std::move(message)};
}

} // namespace turmericlane
