#include "../turmericlane_http.h"

#include <doctest/doctest.h>

#include <string>

using namespace turmericlane;

// Guards against an answer to a caller that is not HTTP.
TEST_CASE("a status outside 100 to 599 is refused")
{
    for (int status = 0; status < 1000; ++status)
    {
        const auto digits = std::to_string(1000 + status).substr(1);
        const auto head = parse_response_head(
            "HTTP/1.1 " + digits + " Status\r\nX-A: 1\r\n\r\n");
        CAPTURE(status);
        CHECK(head.has_value() == (status >= 100 && status <= 599));
        if (head)
            CHECK(head->status == static_cast<unsigned>(status));
    }
}

TEST_CASE("a status line has a known version, three digits and a reason")
{
    for (const std::string line :
         {"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 200 ",
          "HTTP/1.1 200 \ttwo words", "HTTP/1.1 200 \xc3\xa4"})
    {
        CAPTURE(line);
        CHECK(parse_response_head(line + "\r\n\r\n"));
    }
    for (const std::string line :
         {"",
          "HTTP/1.1",
          "HTTP/1.1 ",
          "HTTP/1.1 20",
          "HTTP/1.1 200",
          "HTTP/1.1 20 OK",
          "HTTP/1.1 2000 OK",
          "HTTP/1.1 200OK",
          "HTTP/1.1  200 OK",
          "HTTP/1.1\t200 OK",
          "HTTP/1.1 +20 OK",
          "HTTP/1.1 -20 OK",
          "HTTP/1.1 2x0 OK",
          "HTTP/1.2 200 OK",
          "HTTP/2.0 200 OK",
          "HTTP/11 200 OK",
          "http/1.1 200 OK",
          " HTTP/1.1 200 OK",
          "\r\nHTTP/1.1 200 OK",
          "HTTP/1.1 200 O\x01K",
          "HTTP/1.1 200 O\rK",
          "HTTP/1.1 200 O\nK",
          "HTTP/1.1 200 O\x7fK"})
    {
        CAPTURE(line);
        CHECK_FALSE(parse_response_head(line + "\r\n\r\n"));
    }
}

TEST_CASE("a head without its end is refused")
{
    const std::string text = "HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\n";
    CHECK(parse_response_head(text));
    for (std::size_t size = 0; size < text.size(); ++size)
        CHECK_FALSE(parse_response_head(text.substr(0, size)));
}
