#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/verb.hpp>

#include <string>
#include <string_view>

namespace turmericlane
{

/** A request of a caller. */
struct caller_request
{
    std::string method;
    /** Path and query as sent. */
    std::string target;
    boost::beast::http::fields fields;
    std::string body;

    /** The path without the query. */
    std::string_view path() const
    {
        return std::string_view(target).substr(0, target.find('?'));
    }

    /** Value of a parameter in the query; empty if there is none. Escapes are
        not resolved. */
    std::string_view parameter(std::string_view name) const;

    /** Name of the host without a port; empty if there is none. */
    std::string_view host() const;
};

/** An answer as it arrived from a server. */
struct server_response
{
    unsigned status = 0;
    boost::beast::http::fields fields;
    std::string body;
    /** The connection can carry another request. */
    bool keep_alive = false;
};

/** True for header fields that concern one connection and are not passed
    on. */
bool is_connection_field(std::string_view name);

/** Value of a field; empty if there is none. */
std::string_view
field(const boost::beast::http::fields& of, std::string_view name);

/** The reason phrase of a status. */
std::string_view reason_phrase(unsigned status);

/** Appends "name: value" and the end of the line. */
void append_field(
    std::string& to, std::string_view name, std::string_view value);

} // namespace turmericlane
