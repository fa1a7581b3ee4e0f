#pragma once

#include "peer_messages.h"

#include <optional>
#include <span>

namespace turmericlane
{

/** A received message and its header. */
template <class T>
struct received_message
{
    message_header header;
    T body;
};

/** Decodes a message of type T from the payload of a frame of the same type.

    The FlatBuffers verifier runs before any field is read. A message is refused
    if a required field is missing, an enumerator is unknown or a time is
    negative. Any thread may call it. There are specialisations for
    hello_message, search_batch, shard_reply_batch, cancel_message,
    booking_forward_message, booking_execute_message, booking_reply_message,
    membership_message, bundle_request_message, bundle_delta_message,
    bundle_full_message, feed_message, departure_message and
    failure_report_message.

    @param payload  aligned to 8 bytes, as frame_decoder returns it
    @returns nothing if the payload is not a valid message of type T
    @see message_encoder
*/
template <class T>
std::optional<received_message<T>>
decode_message(std::span<const std::uint8_t> payload);

template <>
std::optional<received_message<hello_message>>
decode_message(std::span<const std::uint8_t> payload);
template <>
std::optional<received_message<search_batch>>
decode_message(std::span<const std::uint8_t> payload);
template <>
std::optional<received_message<shard_reply_batch>>
decode_message(std::span<const std::uint8_t> payload);
template <>
std::optional<received_message<cancel_message>>
decode_message(std::span<const std::uint8_t> payload);
template <>
std::optional<received_message<booking_forward_message>>
decode_message(std::span<const std::uint8_t> payload);
template <>
std::optional<received_message<booking_execute_message>>
decode_message(std::span<const std::uint8_t> payload);
template <>
std::optional<received_message<booking_reply_message>>
decode_message(std::span<const std::uint8_t> payload);
template <>
std::optional<received_message<membership_message>>
decode_message(std::span<const std::uint8_t> payload);
template <>
std::optional<received_message<bundle_request_message>>
decode_message(std::span<const std::uint8_t> payload);
template <>
std::optional<received_message<bundle_delta_message>>
decode_message(std::span<const std::uint8_t> payload);
template <>
std::optional<received_message<bundle_full_message>>
decode_message(std::span<const std::uint8_t> payload);
template <>
std::optional<received_message<feed_message>>
decode_message(std::span<const std::uint8_t> payload);
template <>
std::optional<received_message<departure_message>>
decode_message(std::span<const std::uint8_t> payload);

template <>
std::optional<received_message<failure_report_message>>
decode_message(std::span<const std::uint8_t> payload);

} // namespace turmericlane
