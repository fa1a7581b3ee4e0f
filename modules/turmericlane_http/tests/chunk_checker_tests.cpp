#include "../turmericlane_http.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace turmericlane;

namespace
{

/** Checks a body that arrives in two pieces. */
bool is_accepted(const std::string& body, std::size_t first_size)
{
    chunk_checker checker;
    return checker.accept(body.substr(0, first_size)) &&
           checker.accept(body.substr(first_size));
}

} // namespace

TEST_CASE("chunks in any valid form are accepted, in any pieces")
{
    for (const std::string body :
         {"0\r\n\r\n", "000\r\n\r\n", "4\r\nbody\r\n0\r\n\r\n",
          "004\r\nbody\r\n0\r\n\r\n", "a\r\n0123456789\r\n0\r\n\r\n",
          "A;a=b;c=\"d\"\r\n0\r\n\r\n\r\n345\r\n0;e\r\n\r\n",
          "1\r\na\r\n1\r\nb\r\n0\r\nX-A: 1\r\nX-B:\r\n\r\n"})
    {
        CAPTURE(body);
        for (std::size_t size = 0; size <= body.size(); ++size)
            CHECK(is_accepted(body, size));
    }
}

// Guards against a body that is cut short where its reader loses the chunks.
TEST_CASE("malformed chunks are refused, in any pieces")
{
    const std::string long_line(max_response_head_bytes, 'a');
    for (const std::string& body : std::vector<std::string>{
             "\r\n",
             "x\r\n",
             "-4\r\n",
             "+4\r\n",
             " 4\r\n",
             "4 \r\n",
             "0x4\r\n",
             "4x\r\n",
             "4,4\r\n",
             "4\n",
             "4\r\nbody?\r\n",
             "4\r\nbody0\r\n\r\n",
             "4\r\nbody\n",
             "4\r\nbody\r\n\r\n",
             "4;a\x01\r\n",
             "10000000000000000\r\n",
             "0\r\nX A: 1\r\n",
             "0\r\nX-A\r\n",
             "0\r\nX-A: \x7f\r\n",
             "0\r\n X-A: 1\r\n",
             "0\r\n\r\n0\r\n",
             "0\r\n\r\n\r\n",
             "4;" + long_line})
    {
        CAPTURE(body);
        for (std::size_t size = 0; size <= body.size() && size < 30; ++size)
            CHECK_FALSE(is_accepted(body, size));
    }
}
