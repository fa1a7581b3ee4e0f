#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <algorithm>
#include <cstdint>
#include <string>

namespace turmericlane
{

/** Body of an answer as Beast's parsers need it. Unlike Beast's string_body it
    does not trust the stated length: no memory is reserved for bytes that have
    not arrived, and a length beyond the limit is refused. */
struct response_body
{
    using value_type = std::string;

    /** Size of the largest body, in bytes. */
    static constexpr std::uint64_t max_bytes = 16ULL << 20U;

    /** Stores the bytes of a body. */
    class reader
    {
    public:
        template <bool is_request, class Fields>
        reader(
            boost::beast::http::header<is_request, Fields>&, value_type& body)
            : body_(body)
        {
        }

        void init(
            const boost::optional<std::uint64_t>& length,
            boost::system::error_code& ec)
        {
            ec = {};
            if (!length)
                return;
            if (*length > max_bytes)
                ec = boost::beast::http::error::body_limit;
            else
                body_.reserve(std::min(*length, max_reserved_bytes));
        }

        template <class Buffers>
        std::size_t put(const Buffers& buffers, boost::system::error_code& ec)
        {
            ec = {};
            std::size_t n = 0;
            for (auto it = boost::asio::buffer_sequence_begin(buffers);
                 it != boost::asio::buffer_sequence_end(buffers); ++it)
            {
                const boost::asio::const_buffer buf(*it);
                body_.append(static_cast<const char*>(buf.data()), buf.size());
                n += buf.size();
            }
            return n;
        }

        void finish(boost::system::error_code& ec)
        {
            ec = {};
        }

    private:
        static constexpr std::uint64_t max_reserved_bytes = 16ULL << 10U;

        value_type& body_;
    };
};

} // namespace turmericlane
