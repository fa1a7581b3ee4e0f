#pragma once

#include "../frame/frame_header.h"
#include "peer_messages.h"

#include <memory>
#include <span>

namespace flatbuffers
{
class FlatBufferBuilder;
}

namespace turmericlane
{

/** A message in its wire form, ready to be sent.

    @see message_encoder
*/
struct encoded_message
{
    frame_type type = frame_type::hello;
    /** A multiple of 8 bytes; owned by the encoder, valid until its next use.
        Empty if the message is larger than 4 MiB, which cannot be sent. */
    std::span<const std::uint8_t> payload;
};

/** Turns messages into their wire form.

    It keeps its memory from one message to the next, so a thread should keep
    one encoder. One thread uses it.

    @see message_decoder.h
*/
class message_encoder
{
public:
    message_encoder();
    ~message_encoder();
    message_encoder(const message_encoder&) = delete;
    message_encoder& operator=(const message_encoder&) = delete;

    /** Encodes a message with the state of its sender. */
    encoded_message
    encode(const message_header& header, const hello_message& message);
    encoded_message
    encode(const message_header& header, const search_batch& message);
    /** Replies of one frame; at least one. */
    encoded_message
    encode(const message_header& header, std::span<const shard_reply> replies);
    encoded_message
    encode(const message_header& header, const cancel_message& message);
    encoded_message encode(
        const message_header& header, const booking_forward_message& message);
    encoded_message encode(
        const message_header& header, const booking_execute_message& message);
    encoded_message
    encode(const message_header& header, const booking_reply_message& message);
    encoded_message
    encode(const message_header& header, const membership_message& message);
    encoded_message
    encode(const message_header& header, const bundle_request_message& message);
    encoded_message
    encode(const message_header& header, const bundle_delta_message& message);
    encoded_message
    encode(const message_header& header, const bundle_full_message& message);
    encoded_message
    encode(const message_header& header, const feed_message& message);

private:
    flatbuffers::FlatBufferBuilder& begin();
    template <class Table>
    encoded_message finish(frame_type type, Table root);

    std::unique_ptr<flatbuffers::FlatBufferBuilder> builder_;
};

} // namespace turmericlane
