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

/** The payload of a frame, ready to be sent.

    @see message_encoder
*/
struct encoded_message
{
    frame_type type = frame_type::hello;
    /** The encoder owns the bytes, which are valid until its next use. The size
        is a multiple of 8. Empty if the message is larger than 4 MiB and can't
        be sent. */
    std::span<const std::uint8_t> payload;
};

/** Encodes messages as payloads of frames.

    It reuses its memory, so a thread should keep one encoder for all messages.
    Only one thread may use it.

    @see message_decoder.h
*/
class message_encoder
{
public:
    message_encoder();
    ~message_encoder();
    message_encoder(const message_encoder&) = delete;
    message_encoder& operator=(const message_encoder&) = delete;

    /** Encodes a message and its header. */
    encoded_message
    encode(const message_header& header, const hello_message& message);
    encoded_message
    encode(const message_header& header, const search_batch& message);
    /** Encodes the replies of one frame; at least one. */
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
    encoded_message
    encode(const message_header& header, const departure_message& message);
    encoded_message
    encode(const message_header& header, const failure_report_message& message);

private:
    flatbuffers::FlatBufferBuilder& reset_builder();
    template <class Table>
    encoded_message finish_message(frame_type type, Table root);

    std::unique_ptr<flatbuffers::FlatBufferBuilder> builder_;
};

} // namespace turmericlane
