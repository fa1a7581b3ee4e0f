#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace turmericlane
{

/** Checks the bytes of a body that consists of chunks, as they arrive.

    It finds what a lenient parser would skip or take for the end of the body,
    such as other characters beside a size, or bytes between two chunks.

    @see parse_response_head */
class chunk_checker
{
public:
    /** Checks the next bytes of the body.
        @returns false if they are not well formed; then the end of the body is
                 not known, and the object must not be used again */
    bool accept(std::string_view bytes);

private:
    enum class part : std::uint8_t
    {
        size_line,
        data,
        end_of_data,
        trailer,
        end
    };

    bool accept_line(std::string_view line);
    bool accept_size(std::string_view line);

    part part_ = part::size_line;
    /** Bytes of the present chunk that are still to come. */
    std::uint64_t remaining_bytes_ = 0;
    /** Beginning of a line whose end is still to come. */
    std::string line_;
};

} // namespace turmericlane
