#include "connected_pair.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <vector>

using namespace turmericlane;
using samples::connected_pair;

namespace
{

constexpr std::uint64_t seed = 20261204;
constexpr std::size_t message_inputs = 80'000;
constexpr std::size_t stream_inputs = 40'000;

using bytes = std::vector<std::uint8_t>;

struct corpus_entry
{
    frame_type type;
    bytes payload;
};

// Payloads named after their frame type, as written by message_encoder.
std::vector<corpus_entry> load_corpus()
{
    std::vector<corpus_entry> made;
    std::filesystem::path folder(TURMERICLANE_SOURCE_DIR
                                 "/modules/turmericlane_wire/tests/corpus");
    for (std::uint8_t n = 1; n <= frame_type_count; ++n)
    {
        auto type = static_cast<frame_type>(n);
        std::ifstream file(
            folder / (std::string(to_string(type)) + ".payload"),
            std::ios::binary);
        REQUIRE(file);
        made.push_back({type, bytes(std::istreambuf_iterator<char>(file), {})});
    }
    return made;
}

bool decodes(frame_type type, std::span<const std::uint8_t> payload)
{
    switch (type)
    {
    case frame_type::hello:
        return decode_message<hello_message>(payload).has_value();
    case frame_type::search_batch:
        return decode_message<search_batch>(payload).has_value();
    case frame_type::shard_reply:
        return decode_message<shard_reply_batch>(payload).has_value();
    case frame_type::cancel:
        return decode_message<cancel_message>(payload).has_value();
    case frame_type::booking_forward:
        return decode_message<booking_forward_message>(payload).has_value();
    case frame_type::booking_execute:
        return decode_message<booking_execute_message>(payload).has_value();
    case frame_type::booking_reply:
        return decode_message<booking_reply_message>(payload).has_value();
    case frame_type::heartbeat:
        return decode_message<membership_message>(payload).has_value();
    case frame_type::bundle_request:
        return decode_message<bundle_request_message>(payload).has_value();
    case frame_type::bundle_delta:
        return decode_message<bundle_delta_message>(payload).has_value();
    case frame_type::bundle_full:
        return decode_message<bundle_full_message>(payload).has_value();
    case frame_type::store_feed:
        return decode_message<feed_message>(payload).has_value();
    }
    return false;
}

class mutator
{
public:
    explicit mutator(std::uint64_t seed)
        : random_(seed)
    {
    }

    std::size_t below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(
            random_);
    }

    bytes mutate(bytes from)
    {
        auto changes = 1 + below(4);
        for (std::size_t n = 0; n < changes; ++n)
            change(from);
        return from;
    }

private:
    void change(bytes& data)
    {
        if (data.empty())
            return;
        auto at =
            data.begin() + static_cast<std::ptrdiff_t>(below(data.size()));
        switch (below(6))
        {
        case 0:
            *at ^= static_cast<std::uint8_t>(1U << below(8));
            break;
        case 1:
            *at = static_cast<std::uint8_t>(below(256));
            break;
        case 2:
            *at = below(2) == 0 ? 0x00 : 0xff;
            break;
        case 3:
            data.resize(1 + below(data.size()));
            break;
        case 4:
            data.insert(
                at, 1 + below(16), static_cast<std::uint8_t>(below(256)));
            break;
        default:
            std::swap(*at, data[below(data.size())]);
        }
    }

    std::mt19937_64 random_;
};

// Feeds a stream in pieces of random size and returns the accepted payloads.
std::vector<bytes>
accepted(frame_decoder& decoder, const bytes& stream, mutator& random)
{
    std::vector<bytes> made;
    for (std::size_t at = 0; at < stream.size();)
    {
        auto n = std::min(stream.size() - at, 1 + random.below(200));
        decoder.append(std::span(stream).subspan(at, n));
        at += n;
        while (auto frame = decoder.next())
            made.emplace_back(frame->payload.begin(), frame->payload.end());
    }
    return made;
}

} // namespace

TEST_CASE("messages of this protocol version stay readable")
{
    for (const auto& it : load_corpus())
        CHECK(decodes(it.type, it.payload));
}

TEST_CASE("no damaged payload makes a decoder read out of bounds")
{
    MESSAGE("seed ", seed);
    auto corpus = load_corpus();
    mutator random(seed);
    std::size_t refused = 0;
    for (std::size_t n = 0; n < message_inputs; ++n)
    {
        const auto& from = corpus[n % corpus.size()];
        // A buffer of the exact size lets the address sanitizer see each byte
        // that is read behind its end.
        auto input = random.mutate(from.payload);
        input.shrink_to_fit();
        refused += decodes(from.type, input) ? 0U : 1U;
    }
    CHECK(refused > 0);
    MESSAGE(refused, " of ", message_inputs, " inputs refused");
}

TEST_CASE("no damaged stream makes a decoder accept a forged frame")
{
    MESSAGE("seed ", seed);
    auto corpus = load_corpus();
    mutator random(seed + 1);
    std::size_t all_accepted = 0;
    for (std::size_t n = 0; n < stream_inputs; ++n)
    {
        connected_pair pair;
        REQUIRE(pair.establish());
        bytes stream;
        std::vector<bytes> sent;
        for (std::size_t frame = 0; frame < 3; ++frame)
        {
            const auto& from = corpus[random.below(corpus.size())];
            pair.to_acceptor.append_frame(from.type, from.payload, stream);
            sent.push_back(from.payload);
        }
        auto got = accepted(pair.at_acceptor, random.mutate(stream), random);
        REQUIRE(got.size() <= sent.size());
        REQUIRE(std::equal(got.begin(), got.end(), sent.begin()));
        all_accepted += got.size() == sent.size() ? 1U : 0U;
    }
    // Bytes that were appended behind the last frame, or changes that cancel
    // each other, leave all frames intact.
    CHECK(all_accepted < stream_inputs / 10);
    MESSAGE(all_accepted, " of ", stream_inputs, " streams wholly accepted");
}
