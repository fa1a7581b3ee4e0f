#pragma once

#include <cstddef>
#include <string>

namespace turmericlane
{

/** What a request head states about the request's size. */
struct request_head
{
    /** Status of the refusal if the request must not be read further; otherwise
        0. */
    int refusal_status = 0;
    std::size_t field_count = 0;
    bool is_chunked = false;
};

/** Checks a complete request head before the HTTP library parses it.

    The library unpacks compressed bodies without any limit, copies the response
    once for each range of a Range field, and reads a body over the limit to its
    end. Compressed bodies are refused with 415 and bodies over the limit with
    413; Range fields are removed, as HTTP permits.

    @param text             head with its terminator; changed
    @param max_body_bytes   largest accepted Content-Length
    @param max_field_count  more fields are refused with 431 */
request_head check_request_head(
    std::string& text, std::size_t max_body_bytes, std::size_t max_field_count);

} // namespace turmericlane
