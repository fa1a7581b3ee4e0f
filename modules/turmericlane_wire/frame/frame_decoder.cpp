#include "frame_decoder.h"

#include <algorithm>
#include <cassert>
#include <cstring>

namespace turmericlane
{

namespace
{

// Most frames fit into the smallest read. Larger buffers would take too much
// memory with thousands of mostly idle sessions.
constexpr std::size_t min_read_bytes = std::size_t{4} << 10U;
constexpr std::size_t max_read_bytes = std::size_t{256} << 10U;

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
    reserve_space(
        std::clamp(count_missing_bytes(), min_read_bytes, max_read_bytes));
    return {buffer_.get() + end_, capacity_bytes_ - end_};
}

void frame_decoder::commit(std::size_t received_bytes)
{
    assert(received_bytes <= capacity_bytes_ - end_);
    end_ += received_bytes;
}

void frame_decoder::append(std::span<const std::uint8_t> received_bytes)
{
    if (received_bytes.empty())
        return;
    reserve_space(received_bytes.size());
    std::memcpy(
        buffer_.get() + end_, received_bytes.data(), received_bytes.size());
    end_ += received_bytes.size();
}

std::optional<received_frame> frame_decoder::next()
{
    if (error_ != reason::none || end_ - begin_ < frame_header_bytes)
        return std::nullopt;
    std::span<const std::uint8_t, frame_header_bytes> header_bytes(
        buffer_.get() + begin_, frame_header_bytes);
    auto header = frame_header::unpack(header_bytes);
    auto header_error = check_header(header);
    if (header_error != reason::none)
        return fail(header_error);
    auto size = frame_bytes(header.payload_bytes);
    if (end_ - begin_ < size)
        return std::nullopt;

    std::span<const std::uint8_t> payload(
        header_bytes.data() + frame_header_bytes, header.payload_bytes);
    std::span<const std::uint8_t, frame_mac_bytes> mac(
        payload.data() + payload.size(), frame_mac_bytes);
    if (!session_.verify(header_bytes, payload, mac))
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

std::optional<received_frame> frame_decoder::fail(reason cause) noexcept
{
    error_ = cause;
    return std::nullopt;
}

reason frame_decoder::check_header(const frame_header& header) const noexcept
{
    if (header.version != frame_protocol_version)
        return reason::frame_version;
    auto limit = session_.is_established() ? payload_limit_bytes_
                                           : hello_payload_limit_bytes;
    if (header.payload_bytes > limit)
        return reason::frame_too_large;
    if (!parse_frame_type(header.type) || header.reserved != 0)
        return reason::frame_malformed;
    if (header.payload_bytes % frame_payload_alignment_bytes != 0)
        return reason::frame_malformed;
    return reason::none;
}

std::size_t frame_decoder::count_missing_bytes() const noexcept
{
    auto buffered_bytes = end_ - begin_;
    if (buffered_bytes < frame_header_bytes)
        return frame_header_bytes - buffered_bytes;
    auto header =
        frame_header::unpack(std::span<const std::uint8_t, frame_header_bytes>(
            buffer_.get() + begin_, frame_header_bytes));
    if (check_header(header) != reason::none)
        return 0;
    auto size = frame_bytes(header.payload_bytes);
    return size > buffered_bytes ? size - buffered_bytes : 0;
}

void frame_decoder::reserve_space(std::size_t extra_bytes)
{
    auto buffered_bytes = end_ - begin_;
    auto required_bytes = buffered_bytes + extra_bytes;
    bool has_space = end_ + extra_bytes <= capacity_bytes_;
    bool is_oversized =
        buffered_bytes == 0 &&
        capacity_bytes_ > 4 * std::max(required_bytes, min_read_bytes);
    if (has_space && !is_oversized && buffered_bytes != 0)
        return;
    if (required_bytes <= capacity_bytes_ && !is_oversized)
    {
        std::memmove(buffer_.get(), buffer_.get() + begin_, buffered_bytes);
    }
    else
    {
        // Growing by half keeps the cost of copying a large frame that comes
        // in small pieces proportional to its size.
        auto new_capacity_bytes =
            buffered_bytes == 0
                ? std::max(required_bytes, min_read_bytes)
                : std::max(required_bytes, capacity_bytes_ * 3 / 2);
        auto new_buffer =
            std::make_unique_for_overwrite<std::uint8_t[]>(new_capacity_bytes);
        if (buffered_bytes != 0)
            std::memcpy(
                new_buffer.get(), buffer_.get() + begin_, buffered_bytes);
        buffer_ = std::move(new_buffer);
        capacity_bytes_ = new_capacity_bytes;
    }
    begin_ = 0;
    end_ = buffered_bytes;
}

} // namespace turmericlane
