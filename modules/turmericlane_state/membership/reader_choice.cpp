#include "reader_choice.h"

#include <algorithm>
#include <xxhash.h>

namespace turmericlane
{

namespace
{

constexpr std::size_t readers_per_data_centre = 2;

} // namespace

std::vector<ordinal>
choose_readers(const member_store& store, std::string_view data_centre)
{
    std::vector<std::pair<std::uint64_t, ordinal>> scores;
    auto add_score = [&](const member& it)
    {
        if (it.state != member_state::live || it.data_centre != data_centre)
            return;
        auto score = XXH3_64bits_withSeed(
            data_centre.data(), data_centre.size(), it.index);
        scores.emplace_back(score, it.index);
    };
    add_score(store.self());
    for (const auto& [nonce, it] : store.entries())
        add_score(it.record);
    std::sort(scores.rbegin(), scores.rend());
    // Two processes may hold the same ordinal for a while.
    scores.erase(std::unique(scores.begin(), scores.end()), scores.end());
    std::vector<ordinal> readers;
    readers.reserve(readers_per_data_centre);
    for (const auto& [score, index] : scores)
        if (readers.size() < readers_per_data_centre)
            readers.push_back(index);
    return readers;
}

} // namespace turmericlane
