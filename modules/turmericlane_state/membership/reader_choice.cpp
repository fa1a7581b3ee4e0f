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
    auto add = [&](const member& it)
    {
        if (it.state != member_state::live || it.data_centre != data_centre)
            return;
        auto score = XXH3_64bits_withSeed(
            data_centre.data(), data_centre.size(), it.index);
        scores.emplace_back(score, it.index);
    };
    add(store.self());
    for (const auto& [nonce, it] : store.entries())
        add(it.value);
    std::sort(scores.rbegin(), scores.rend());
    // Two processes may run under one ordinal for a while.
    scores.erase(std::unique(scores.begin(), scores.end()), scores.end());
    std::vector<ordinal> made;
    made.reserve(readers_per_data_centre);
    for (const auto& [score, index] : scores)
        if (made.size() < readers_per_data_centre)
            made.push_back(index);
    return made;
}

} // namespace turmericlane
