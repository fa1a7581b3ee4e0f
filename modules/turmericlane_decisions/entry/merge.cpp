#include "merge.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string_view>
#include <tuple>
#include <unordered_set>

namespace turmericlane
{

namespace
{

constexpr auto no_score = -std::numeric_limits<double>::infinity();
// Candidates beyond twice the limit before they are sorted; it keeps sorting
// rare for small limits.
constexpr std::size_t slack = 64;

} // namespace

merge::merge(std::uint32_t limit)
    : limit_(limit)
    , lowest_score_(no_score)
{
}

void merge::add(group_id from, std::span<const hit> hits)
{
    for (const auto& it : hits)
    {
        // A score that is not a number has no place in a total order.
        auto score = std::isnan(it.score) ? no_score : it.score;
        if (score < lowest_score_)
            continue;
        candidates_.push_back({{it.document, score}, from});
    }
    if (candidates_.size() > 2 * limit_ + slack)
        compact();
}

void merge::clear()
{
    candidates_.clear();
    lowest_score_ = no_score;
}

std::vector<hit> merge::take()
{
    compact();
    std::vector<hit> taken;
    taken.reserve(candidates_.size());
    for (auto& it : candidates_)
        taken.push_back(std::move(it.found));
    clear();
    return taken;
}

bool merge::before(const candidate& a, const candidate& b)
{
    if (a.found.score != b.found.score)
        return a.found.score > b.found.score;
    if (auto order = a.found.document.compare(b.found.document); order != 0)
        return order < 0;
    return std::tie(a.from.service, a.from.partition) <
           std::tie(b.from.service, b.from.partition);
}

void merge::compact()
{
    std::sort(candidates_.begin(), candidates_.end(), before);
    std::unordered_set<std::string_view> seen;
    std::vector<std::size_t> kept;
    for (std::size_t n = 0; n < candidates_.size() && kept.size() < limit_; ++n)
        if (seen.insert(candidates_[n].found.document).second)
            kept.push_back(n);
    // The views in `seen` end here: moving a string may move its characters.
    seen.clear();
    for (std::size_t n = 0; n < kept.size(); ++n)
        if (kept[n] != n)
            candidates_[n] = std::move(candidates_[kept[n]]);
    candidates_.resize(kept.size());
    if (limit_ > 0 && candidates_.size() == limit_)
        lowest_score_ = candidates_.back().found.score;
}

} // namespace turmericlane
