#include "../turmericlane_http.h"

#include <doctest/doctest.h>

#include <cctype>
#include <cstring>
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

// Guards against readers that differ on where a field ends.
TEST_CASE("a field is a token, a colon and a printable value")
{
    for (const std::string line :
         {"X-A: 1", "X-A:1", "X-A:", "X-A: \t", "a!#$%&'*+-.^_`|~09Z: 1",
          "X-A: a: b", "X-A: \"a\\\tb\"", "X-A: \xc3\xa4", "X-A: \xff"})
    {
        CAPTURE(line);
        CHECK(is_field_line(line));
        CHECK(parse_response_head("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n"));
    }
    for (int code = 0; code < 256; ++code)
    {
        const std::string text(1, static_cast<char>(code));
        CAPTURE(code);
        const auto is_letter_or_digit = code < 0x80 && std::isalnum(code) != 0;
        const auto is_in_token =
            is_letter_or_digit ||
            (code != 0 && std::strchr("!#$%&'*+-.^_`|~", code) != nullptr);
        // A colon ends the name.
        if (code != ':')
            for (const auto& name :
                 {text, text + "a", "a" + text, "a" + text + "b"})
                CHECK(is_field_line(name + ": 1") == is_in_token);
        const auto is_in_value = code == '\t' || (code >= 0x20 && code != 0x7f);
        for (const auto& value : {text, text + "a", "a" + text})
            CHECK(is_field_line("X-A: " + value) == is_in_value);
    }
    for (const std::string lines :
         {"X-A", "", ": 1", "X-A: 1\r\n", "X-A: 1\r\n X-B: 1", "X-A: 1\r\n\tb",
          " X-A: 1", "X-A: 1\nX-B: 1"})
    {
        CAPTURE(lines);
        CHECK_FALSE(is_field_line(lines));
        CHECK_FALSE(
            parse_response_head("HTTP/1.1 200 OK\r\n" + lines + "\r\n\r\n"));
    }
}

// Guards against readers that differ on where a body ends.
TEST_CASE("a head states at most one length or coding")
{
    const auto parse = [](const std::string& lines)
    { return parse_response_head("HTTP/1.1 200 OK\r\n" + lines + "\r\n"); };
    const auto plain_head = parse("X-A: 1\r\n");
    REQUIRE(plain_head);
    CHECK(plain_head->framing == body_framing::connection_end);
    for (const std::string lines :
         {"Content-Length: 0\r\n", "content-length:12 \t\r\n",
          "CONTENT-LENGTH: 18446744073709551615\r\nX-A: 1\r\n",
          "X-A: 1\r\nContent-Length: 007\r\n"})
    {
        CAPTURE(lines);
        const auto head = parse(lines);
        REQUIRE(head);
        CHECK(head->framing == body_framing::length);
    }
    for (const std::string lines :
         {"Transfer-Encoding: chunked\r\n", "transfer-encoding:CHUNKED\r\n"})
    {
        CAPTURE(lines);
        const auto head = parse(lines);
        REQUIRE(head);
        CHECK(head->framing == body_framing::chunked);
    }
    for (const std::string lines :
         {"Content-Length:\r\n",
          "Content-Length: +4\r\n",
          "Content-Length: -4\r\n",
          "Content-Length: 4x\r\n",
          "Content-Length: 0x4\r\n",
          "Content-Length: 4 4\r\n",
          "Content-Length: 4, 4\r\n",
          "Content-Length: 4.0\r\n",
          "Content-Length: 18446744073709551616\r\n",
          "Content-Length: 4\r\nContent-Length: 4\r\n",
          "Content-Length: 4\r\ncontent-length: 3\r\n",
          "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding:\r\n",
          "Transfer-Encoding: gzip\r\n",
          "Transfer-Encoding: identity\r\n",
          "Transfer-Encoding: gzip, chunked\r\n",
          "Transfer-Encoding: chunked, gzip\r\n",
          "Transfer-Encoding: chunked;a=b\r\n"})
    {
        CAPTURE(lines);
        CHECK_FALSE(parse(lines));
    }
}
