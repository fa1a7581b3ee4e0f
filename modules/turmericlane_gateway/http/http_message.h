#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/verb.hpp>

#include <algorithm>
#include <string>
#include <string_view>

namespace turmericlane
{

/** A request from a caller. */
struct caller_request
{
    std::string method;
    /** Path and query as the caller sent them. */
    std::string target;
    boost::beast::http::fields fields;
    std::string body;

    /** Returns the path without the query. */
    std::string_view path() const
    {
        return std::string_view(target).substr(0, target.find('?'));
    }

    /** Returns the value of a query parameter, with its percent escapes; empty
        if there is none. */
    std::string_view parameter(std::string_view name) const;

    /** Returns the host name without the port; empty if there is none. */
    std::string_view host() const;
};

/** An answer as received from a server. */
struct server_response
{
    unsigned status = 0;
    boost::beast::http::fields fields;
    std::string body;
    /** True if the connection can carry another request. */
    bool keep_alive = false;
};

/** True if a header field concerns only one connection or the length of the
    body, so that it is not forwarded. */
bool is_connection_field(std::string_view name);

/** Returns the value of a header field; empty if there is none. */
std::string_view
field(const boost::beast::http::fields& fields, std::string_view name);

/** Fewest bytes that are still to come while the chunks of a body are read: the
    line of the last chunk and the empty line. */
inline constexpr std::size_t min_chunked_rest_bytes = 5;

/** True if an HTTP parser may be called with the unparsed bytes. With fewer
    bytes of a chunked body it ends the process by an assertion if the line of
    the last chunk had arrived alone.
    @param parser  parser of the library
    @param size    number of the unparsed bytes */
template <class Parser>
bool is_parsable(const Parser& parser, std::size_t size)
{
    return !parser.is_header_done() || !parser.chunked() ||
           size >= min_chunked_rest_bytes;
}

/** Most bytes that an HTTP parser gets at once. The parser takes in a field of
    a trailer or of a head as a whole, and throws if its name or value exceeds
    65,533 bytes: such a field does not fit. */
inline constexpr std::size_t max_parsed_bytes = 64U << 10U;

/** Returns the first of the unparsed bytes, as many as a parser may get at
    once. A parser that makes no progress with max_parsed_bytes has met a line
    or a trailer that is too long. */
inline boost::asio::const_buffer parsable_bytes(std::string_view unparsed_bytes)
{
    return {
        unparsed_bytes.data(),
        std::min(unparsed_bytes.size(), max_parsed_bytes)};
}

/** Returns the reason phrase of an HTTP status. */
std::string_view reason_phrase(unsigned status);

/** Appends the line of a header field to a text. */
void append_field(
    std::string& text, std::string_view name, std::string_view value);

} // namespace turmericlane
