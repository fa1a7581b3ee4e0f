#include "message_decoder.h"

#include <messages_generated.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace turmericlane
{

namespace
{

// Runs the verifier; no field is read before it.
template <class Table>
const Table* verified(std::span<const std::uint8_t> payload)
{
    assert(reinterpret_cast<std::uintptr_t>(payload.data()) % 8 == 0);
    flatbuffers::Verifier verifier(payload.data(), payload.size());
    if (!verifier.VerifyBuffer<Table>(nullptr))
        return nullptr;
    return flatbuffers::GetRoot<Table>(payload.data());
}

message_header convert(const schema::sender_state& from)
{
    return {from.nonce(), from.ordinal(), from.bundle_version()};
}

query_id convert(const schema::query_id& from)
{
    return {from.nonce(), from.counter()};
}

group_id convert(const schema::group_id& from)
{
    return {from.service(), from.partition()};
}

bool assign(rank& to, schema::rank from)
{
    if (static_cast<std::size_t>(from) >= rank_count)
        return false;
    to = static_cast<rank>(from);
    return true;
}

bool assign(verdict& to, const schema::verdict& from)
{
    auto why = parse_reason(from.why());
    if (!why || from.outcome() > static_cast<std::uint8_t>(outcome::ran))
        return false;
    to = {static_cast<outcome>(from.outcome()), *why};
    return true;
}

bool assign(duration& to, std::int64_t from_ns)
{
    if (from_ns < 0)
        return false;
    to = std::chrono::nanoseconds(from_ns);
    return true;
}

bool assign(hit& to, const schema::hit& from)
{
    // A score that is not a number has no place in the order of the hits.
    if (!std::isfinite(from.score()))
        return false;
    to.document = from.document()->str();
    to.score = from.score();
    return true;
}

bool assign(shard_reply& to, const schema::shard_reply& from)
{
    to.id = convert(*from.id());
    to.attempt = from.attempt();
    to.group = convert(*from.group());
    to.snapshot = from.snapshot();
    to.epoch = from.epoch();
    to.served_snapshots = {from.oldest(), from.newest()};
    to.sub_requests_sent = from.sub_requests_sent();
    if (!assign(to.state, *from.state()) ||
        !assign(to.queue_delay, from.queue_delay_ns()) ||
        !assign(to.service_time, from.service_time_ns()))
        return false;
    if (from.hits() == nullptr)
        return true;
    to.hits.resize(from.hits()->size());
    for (flatbuffers::uoffset_t n = 0; n < from.hits()->size(); ++n)
        if (!assign(to.hits[n], *from.hits()->Get(n)))
            return false;
    return true;
}

bool assign(member& to, const schema::member& from)
{
    if (from.state() > schema::member_state::MAX)
        return false;
    to.listen_endpoint.address = from.address()->str();
    to.listen_endpoint.peer_port = from.peer_port();
    to.listen_endpoint.http_port = from.http_port();
    to.data_centre = from.data_centre()->str();
    to.index = from.ordinal();
    to.nonce = from.nonce();
    to.incarnation = from.incarnation();
    to.state = static_cast<member_state>(from.state());
    to.capacity = from.capacity();
    return true;
}

} // namespace

template <>
std::optional<received_message<hello_message>>
decode_message(std::span<const std::uint8_t> payload)
{
    const auto* from = verified<schema::hello>(payload);
    if (from == nullptr)
        return std::nullopt;
    received_message<hello_message> made{convert(*from->sender()), {}};
    if (from->session_nonce()->size() != made.body.session.size())
        return std::nullopt;
    std::copy_n(
        from->session_nonce()->data(), made.body.session.size(),
        made.body.session.begin());
    return made;
}

template <>
std::optional<received_message<search_batch>>
decode_message(std::span<const std::uint8_t> payload)
{
    const auto* from = verified<schema::search_batch>(payload);
    if (from == nullptr)
        return std::nullopt;
    received_message<search_batch> made{convert(*from->sender()), {}};
    auto& to = made.body;
    to.id = convert(*from->id());
    to.attempt = from->attempt();
    to.snapshot = from->snapshot();
    to.bundle_version = from->bundle_version();
    to.limit = from->limit();
    to.query = from->query()->str();
    if (!assign(to.request_rank, from->rank()) ||
        !assign(to.time_left, from->time_left_ns()))
        return std::nullopt;
    // The verifier checks the alignment of a vector's length only.
    auto address = reinterpret_cast<std::uintptr_t>(from->parts()->Data());
    if (address % alignof(schema::batch_part) != 0)
        return std::nullopt;
    to.parts.reserve(from->parts()->size());
    for (const auto* it : *from->parts())
        to.parts.push_back({convert(it->group()), it->epoch()});
    return made;
}

template <>
std::optional<received_message<shard_reply_batch>>
decode_message(std::span<const std::uint8_t> payload)
{
    const auto* from = verified<schema::shard_reply_batch>(payload);
    if (from == nullptr)
        return std::nullopt;
    received_message<shard_reply_batch> made{convert(*from->sender()), {}};
    auto& to = made.body.replies;
    to.resize(from->replies()->size());
    for (flatbuffers::uoffset_t n = 0; n < from->replies()->size(); ++n)
        if (!assign(to[n], *from->replies()->Get(n)))
            return std::nullopt;
    return made;
}

template <>
std::optional<received_message<cancel_message>>
decode_message(std::span<const std::uint8_t> payload)
{
    const auto* from = verified<schema::cancel>(payload);
    if (from == nullptr)
        return std::nullopt;
    return received_message<cancel_message>{
        convert(*from->sender()), {convert(*from->id())}};
}

template <>
std::optional<received_message<booking_forward_message>>
decode_message(std::span<const std::uint8_t> payload)
{
    const auto* from = verified<schema::booking_forward>(payload);
    if (from == nullptr)
        return std::nullopt;
    const auto permit = parse_ticket(from->ticket()->string_view());
    if (!permit)
        return std::nullopt;
    received_message<booking_forward_message> made{
        convert(*from->sender()), {}};
    auto& to = made.body;
    to.id = from->id();
    to.request.booking_ticket = *permit;
    to.request.service = from->service();
    to.request.key = from->key()->str();
    to.request.payload = from->payload()->str();
    if (!assign(to.request.request_rank, from->rank()) ||
        !assign(to.time_left, from->time_left_ns()))
        return std::nullopt;
    return made;
}

template <>
std::optional<received_message<booking_execute_message>>
decode_message(std::span<const std::uint8_t> payload)
{
    const auto* from = verified<schema::booking_execute>(payload);
    if (from == nullptr)
        return std::nullopt;
    received_message<booking_execute_message> made{
        convert(*from->sender()), {}};
    auto& to = made.body.frame;
    to.id = {from->issuer_nonce(), from->serial()};
    to.owner_nonce = from->owner_nonce();
    to.group = convert(*from->group());
    to.key = from->key()->str();
    to.payload = from->payload()->str();
    if (!assign(to.request_rank, from->rank()) ||
        !assign(to.time_left, from->time_left_ns()))
        return std::nullopt;
    return made;
}

template <>
std::optional<received_message<booking_reply_message>>
decode_message(std::span<const std::uint8_t> payload)
{
    const auto* from = verified<schema::booking_reply>(payload);
    if (from == nullptr)
        return std::nullopt;
    received_message<booking_reply_message> made{convert(*from->sender()), {}};
    auto& to = made.body;
    to.forwarded = from->forwarded();
    to.forward = from->forward_id();
    to.booking = {from->issuer_nonce(), from->serial()};
    to.answer.status = from->status();
    to.answer.body = from->body()->str();
    if (!assign(to.answer.final_verdict, *from->state()))
        return std::nullopt;
    return made;
}

template <>
std::optional<received_message<membership_message>>
decode_message(std::span<const std::uint8_t> payload)
{
    const auto* from = verified<schema::heartbeat>(payload);
    if (from == nullptr || from->kind() > schema::message_kind::MAX)
        return std::nullopt;
    received_message<membership_message> made{convert(*from->sender()), {}};
    auto& to = made.body;
    to.kind = static_cast<membership_message::type>(from->kind());
    to.sequence = from->sequence();
    to.digest = from->digest();
    if (!assign(to.sender, *from->self()))
        return std::nullopt;
    if (from->members() != nullptr)
    {
        to.members.resize(from->members()->size());
        for (flatbuffers::uoffset_t n = 0; n < from->members()->size(); ++n)
            if (!assign(to.members[n], *from->members()->Get(n)))
                return std::nullopt;
    }
    if (from->suspicions() != nullptr)
        for (const auto* it : *from->suspicions())
            to.suspicions.push_back(
                {it->reporter(), it->subject(), it->incarnation()});
    return made;
}

template <>
std::optional<received_message<bundle_request_message>>
decode_message(std::span<const std::uint8_t> payload)
{
    const auto* from = verified<schema::bundle_request>(payload);
    if (from == nullptr)
        return std::nullopt;
    return received_message<bundle_request_message>{
        convert(*from->sender()), {from->have_version()}};
}

template <>
std::optional<received_message<bundle_delta_message>>
decode_message(std::span<const std::uint8_t> payload)
{
    const auto* from = verified<schema::bundle_delta>(payload);
    if (from == nullptr)
        return std::nullopt;
    return received_message<bundle_delta_message>{
        convert(*from->sender()), {from->text()->str()}};
}

template <>
std::optional<received_message<bundle_full_message>>
decode_message(std::span<const std::uint8_t> payload)
{
    const auto* from = verified<schema::bundle_full>(payload);
    if (from == nullptr)
        return std::nullopt;
    return received_message<bundle_full_message>{
        convert(*from->sender()), {from->text()->str()}};
}

template <>
std::optional<received_message<feed_message>>
decode_message(std::span<const std::uint8_t> payload)
{
    const auto* from = verified<schema::store_feed>(payload);
    if (from == nullptr || from->age_ns() < 0 || from->settling_ns() < 0)
        return std::nullopt;
    received_message<feed_message> made{convert(*from->sender()), {}};
    auto& to = made.body;
    to.base_revision = from->from();
    to.last_revision = from->through();
    to.is_complete = from->complete();
    to.age = std::chrono::nanoseconds(from->age_ns());
    to.settling_time_left = std::chrono::nanoseconds(from->settling_ns());
    if (from->items() == nullptr)
        return made;
    for (const auto* it : *from->items())
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
        to.items.push_back(std::move(item));
    }
    return made;
}

} // namespace turmericlane
