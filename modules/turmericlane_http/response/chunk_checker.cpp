#include "chunk_checker.h"

#include "response_head.h"

#include <algorithm>
#include <charconv>

namespace turmericlane
{

namespace
{

constexpr std::string_view line_end = "\r\n";
constexpr std::size_t max_line_bytes = max_response_head_bytes;

} // namespace

bool chunk_checker::accept(std::string_view bytes)
{
    while (!bytes.empty())
    {
        if (part_ == part::data)
        {
            const auto n =
                std::min<std::uint64_t>(remaining_bytes_, bytes.size());
            bytes.remove_prefix(n);
            remaining_bytes_ -= n;
            if (remaining_bytes_ == 0)
                part_ = part::end_of_data;
            continue;
        }
        const auto c = bytes.front();
        bytes.remove_prefix(1);
        line_ += c;
        if (line_.size() > max_line_bytes)
            return false;
        if (c != line_end.back())
            continue;
        if (!line_.ends_with(line_end))
            return false;
        line_.resize(line_.size() - line_end.size());
        if (!accept_line(line_))
            return false;
        line_.clear();
    }
    return true;
}

bool chunk_checker::accept_line(std::string_view line)
{
    switch (part_)
    {
    case part::size_line:
        return accept_size(line);
    case part::end_of_data:
        part_ = part::size_line;
        return line.empty();
    case part::trailer:
        if (line.empty())
            part_ = part::end;
        return line.empty() || is_field_line(line);
    case part::data:
    case part::end:
        break;
    }
    return false;
}

bool chunk_checker::accept_size(std::string_view line)
{
    constexpr int base = 16;
    const auto [position, ec] = std::from_chars(
        line.data(), line.data() + line.size(), remaining_bytes_, base);
    if (ec != std::errc())
        return false;
    const auto rest =
        line.substr(static_cast<std::size_t>(position - line.data()));
    if (!rest.empty() && rest.front() != ';')
        return false;
    part_ = remaining_bytes_ == 0 ? part::trailer : part::data;
    return is_printable(rest);
}

} // namespace turmericlane
