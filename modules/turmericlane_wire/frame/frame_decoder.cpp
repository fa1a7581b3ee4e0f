#include "frame_decoder.h"

#include <algorithm>
#include <cassert>
#include <cstring>

namespace turmericlane
{

namespace
{

// Most frames are smaller than a first read, so that one read suffices; with
// thousands of mostly idle sessions larger buffers would add up.
constexpr std::size_t first_read_bytes = std::size_t{4} << 10U;
constexpr std::size_t longest_read_bytes = std::size_t{256} << 10U;

} // namespace

frame_decoder::frame_decoder(
    session_authenticator& session, std::size_t payload_limit_bytes)
    : session_(session)
    , payload_limit_bytes_(payload_limit_bytes)
{
    assert(payload_limit_bytes <= frame_payload_limit_bytes);
}

std::span<std::uint8_t> frame_decoder::prepare()
{
    make_room(
        std::clamp(missing_bytes(), first_read_bytes, longest_read_bytes));
    return {buffer_.get() + end_, capacity_bytes_ - end_};
}

void frame_decoder::commit(std::size_t received_bytes)
{
    assert(received_bytes <= capacity_bytes_ - end_);
    end_ += received_bytes;
}

void frame_decoder::append(std::span<const std::uint8_t> received)
{
    if (received.empty())
        return;
    make_room(received.size());
    std::memcpy(buffer_.get() + end_, received.data(), received.size());
    end_ += received.size();
}

std::optional<received_frame> frame_decoder::next()
{
    if (error_ != reason::none || end_ - begin_ < frame_header_bytes)
        return std::nullopt;
    std::span<const std::uint8_t, frame_header_bytes> packed(
        buffer_.get() + begin_, frame_header_bytes);
    auto header = frame_header::unpack(packed);
    auto why = check_header(header);
    if (why != reason::none)
        return fail(why);
    auto size = frame_bytes(header.payload_bytes);
    if (end_ - begin_ < size)
        return std::nullopt;

    std::span<const std::uint8_t> payload(
        packed.data() + frame_header_bytes, header.payload_bytes);
    std::span<const std::uint8_t, frame_mac_bytes> mac(
        payload.data() + payload.size(), frame_mac_bytes);
    if (!session_.check(packed, payload, mac))
        return fail(reason::frame_auth);
    if (header.sequence != expected_sequence_)
        return fail(reason::frame_replayed);
    ++expected_sequence_;
    begin_ += size;
    return received_frame{static_cast<frame_type>(header.type), payload};
}

reason frame_decoder::error() const noexcept
{
    return error_;
}

bool frame_decoder::has_partial_frame() const noexcept
{
    return begin_ != end_;
}

std::optional<received_frame> frame_decoder::fail(reason why) noexcept
{
    error_ = why;
    return std::nullopt;
}

reason frame_decoder::check_header(const frame_header& header) const noexcept
{
    if (header.version != frame_protocol_version)
        return reason::frame_version;
    auto limit = session_.established() ? payload_limit_bytes_
                                        : hello_payload_limit_bytes;
    if (header.payload_bytes > limit)
        return reason::frame_too_large;
    if (!parse_frame_type(header.type) || header.zero != 0)
        return reason::frame_malformed;
    if (header.payload_bytes % frame_payload_alignment_bytes != 0)
        return reason::frame_malformed;
    return reason::none;
}

std::size_t frame_decoder::missing_bytes() const noexcept
{
    auto arrived = end_ - begin_;
    if (arrived < frame_header_bytes)
        return frame_header_bytes - arrived;
    auto header =
        frame_header::unpack(std::span<const std::uint8_t, frame_header_bytes>(
            buffer_.get() + begin_, frame_header_bytes));
    if (check_header(header) != reason::none)
        return 0;
    auto size = frame_bytes(header.payload_bytes);
    return size > arrived ? size - arrived : 0;
}

void frame_decoder::make_room(std::size_t needed_bytes)
{
    auto arrived = end_ - begin_;
    auto wanted = arrived + needed_bytes;
    bool fits = end_ + needed_bytes <= capacity_bytes_;
    bool oversized = arrived == 0 &&
                     capacity_bytes_ > 4 * std::max(wanted, first_read_bytes);
    if (fits && !oversized && arrived != 0)
        return;
    if (wanted <= capacity_bytes_ && !oversized)
    {
        std::memmove(buffer_.get(), buffer_.get() + begin_, arrived);
    }
    else
    {
        // Growth by half keeps the copying of a large frame that arrives in
        // small pieces proportional to its size.
        auto capacity = arrived == 0
                            ? std::max(wanted, first_read_bytes)
                            : std::max(wanted, capacity_bytes_ * 3 / 2);
        auto larger = std::make_unique_for_overwrite<std::uint8_t[]>(capacity);
        if (arrived != 0)
            std::memcpy(larger.get(), buffer_.get() + begin_, arrived);
        buffer_ = std::move(larger);
        capacity_bytes_ = capacity;
    }
    begin_ = 0;
    end_ = arrived;
}

} // namespace turmericlane
