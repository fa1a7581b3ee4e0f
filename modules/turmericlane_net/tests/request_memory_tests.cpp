#include "../http/request_memory.h"

#include <doctest/doctest.h>

#include <array>
#include <memory>

#include <sys/socket.h>
#include <unistd.h>

using namespace turmericlane;

namespace
{

using namespace std::chrono_literals;

/** A connection with a claim. */
class held_request
{
public:
    explicit held_request(request_memory& memory)
    {
        REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, sockets_.data()) == 0);
        claim = std::make_unique<request_memory_claim>(memory, sockets_[0]);
    }

    ~held_request()
    {
        claim.reset();
        for (auto it : sockets_)
            ::close(it);
    }

    held_request(const held_request&) = delete;
    held_request& operator=(const held_request&) = delete;

    bool is_input_ended() const
    {
        char byte = 0;
        return ::recv(sockets_[0], &byte, 1, MSG_DONTWAIT) == 0;
    }

    std::unique_ptr<request_memory_claim> claim;

private:
    std::array<int, 2> sockets_{};
};

} // namespace

// Guards against a refusal of ordinary requests in place of those that hold
// much memory for a long time.
TEST_CASE("the request with the most bytes for the longest time is given up")
{
    const auto now = std::chrono::steady_clock::now();
    request_memory memory(1000);
    held_request slow(memory);
    held_request large(memory);
    held_request ordinary(memory);
    CHECK(slow.claim->set_receiving(300, now - 100s));
    CHECK(large.claim->set_receiving(600, now - 1s));
    CHECK(ordinary.claim->set_receiving(100, now));
    CHECK(memory.total_bytes() == 1000);
    CHECK(ordinary.claim->set_receiving(200, now));
    CHECK(slow.claim->is_given_up());
    CHECK(slow.is_input_ended());
    CHECK_FALSE(slow.claim->set_receiving(301, now));
    CHECK_FALSE(slow.claim->set_in_flight(301));
    CHECK_FALSE(large.claim->is_given_up());
    CHECK_FALSE(large.is_input_ended());
    CHECK(memory.total_bytes() == 800);
    CHECK(memory.given_up_count() == 1);
}

// Guards against a refusal that claims not to have run although it may have.
TEST_CASE("a request that a handler has is not given up")
{
    const auto now = std::chrono::steady_clock::now();
    request_memory memory(1000);
    held_request in_flight(memory);
    CHECK(in_flight.claim->set_in_flight(2000));
    {
        held_request further(memory);
        CHECK_FALSE(further.claim->set_receiving(1, now));
    }
    CHECK(in_flight.claim->set_in_flight(2000));
    in_flight.claim->release();
    CHECK(memory.total_bytes() == 0);
    held_request later(memory);
    CHECK(later.claim->set_receiving(1000, now));
}
