#include "fuzz_input.h"

#include <turmericlane_gateway/http/response_body.h>
#include <turmericlane_gateway/searchers/answer_reader.h>
#include <turmericlane_http/turmericlane_http.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "../../platform/wire_names.h"

#include <cstdlib>
#include <optional>

/** Answers of searchers: HTTP syntax, chunks, load, statements, classification.
    The bytes arrive in two pieces, of which the first input byte gives the
    size. */
// libFuzzer calls a function of this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t n)
{
    using namespace turmericlane;
    namespace http = boost::beast::http;
    if (n == 0)
        return 0;
    static const auto names = platform::header_names();
    const auto text = turmericlane::fuzz::as_text(data + 1, n - 1);
    parse_load(text);
    // As on a connection, a whole head is checked before the parser gets it.
    std::optional<response_head> head;
    const auto head_size = text.find(head_terminator);
    if (head_size != std::string_view::npos)
    {
        const auto body_start = head_size + head_terminator.size();
        head = parse_response_head(text.substr(0, body_start));
        if (!head)
            return 0;
        chunk_checker().accept(text.substr(body_start));
    }
    http::response_parser<response_body> parser;
    parser.eager(true);
    parser.body_limit(response_body::max_bytes);
    parser.header_limit(64U << 10U);
    std::string unparsed;
    const auto first_size = std::min<std::size_t>(data[0], text.size());
    for (const auto piece :
         {text.substr(0, first_size), text.substr(first_size)})
    {
        // As on a connection, the parser is called when bytes have arrived.
        if (piece.empty())
            continue;
        unparsed += piece;
        boost::system::error_code ec;
        while (!unparsed.empty() && !parser.is_done())
        {
            const auto size = parser.put(boost::asio::buffer(unparsed), ec);
            unparsed.erase(0, size);
            if (ec || size == 0)
                break;
        }
        if (ec && ec != http::error::need_more)
            return 0;
    }
    if (!parser.is_header_done())
        return 0;
    // Both readers see the same status and framing.
    if (!head || parser.get().result_int() != head->status ||
        parser.chunked() != (head->framing == body_framing::chunked))
        std::abort();
    read_statement(parser.get().result_int(), parser.get(), names);
    if (!parser.is_done())
        return 0;
    auto message = parser.release();
    server_response response;
    response.status = message.result_int();
    response.body = std::move(message.body());
    response.fields = std::move(static_cast<http::fields&>(message));
    find_owner(response, names, "1");
    read_answer(server_response(response), names, true);
    read_answer(std::move(response), names, false);
    return 0;
}
