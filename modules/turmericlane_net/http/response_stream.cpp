#include "response_stream.h"

#include <algorithm>
#include <cstring>

namespace turmericlane
{

response_stream::response_stream(httplib::Stream& source)
    : source_(source)
{
}

bool response_stream::is_readable() const
{
    return head_position_ < head_text_.size() || source_.is_readable();
}

bool response_stream::is_writable() const
{
    return source_.is_writable();
}

ssize_t response_stream::read(char* ptr, size_t size)
{
    if (!has_head_ && !read_head())
        return -1;
    if (head_position_ < head_text_.size())
    {
        const auto n = std::min(size, head_text_.size() - head_position_);
        std::memcpy(ptr, head_text_.data() + head_position_, n);
        head_position_ += n;
        return static_cast<ssize_t>(n);
    }
    const auto n = source_.read(ptr, size);
    if (!chunks_ || n < 0)
        return n;
    // The connection must not end before the last chunk.
    return n > 0 && chunks_->accept({ptr, static_cast<std::size_t>(n)}) ? n
                                                                        : -1;
}

ssize_t response_stream::write(const char* ptr, size_t size)
{
    return source_.write(ptr, size);
}

void response_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    source_.get_remote_ip_and_port(ip, port);
}

void response_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    source_.get_local_ip_and_port(ip, port);
}

socket_t response_stream::socket() const
{
    return source_.socket();
}

bool response_stream::read_head()
{
    while (read_head_text())
    {
        const auto head = parse_response_head(head_text_);
        if (!head)
            return false;
        if (head->is_interim())
            continue;
        if (head->framing == body_framing::chunked)
            chunks_.emplace();
        has_head_ = true;
        return true;
    }
    return false;
}

bool response_stream::read_head_text()
{
    head_text_.clear();
    // Single bytes, because the rest has to stay in the source for the body and
    // the next response. The source has a buffer.
    while (!head_text_.ends_with(head_terminator))
    {
        char byte = 0;
        if (head_text_.size() == max_response_head_bytes ||
            source_.read(&byte, 1) != 1)
            return false;
        head_text_ += byte;
    }
    return true;
}

} // namespace turmericlane
