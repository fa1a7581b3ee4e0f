#include "hit_merger.h"

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
// Candidates beyond twice the limit before they are sorted, so that sorting
// stays rare for small limits.
constexpr std::size_t candidate_slack = 64;

} // namespace

hit_merger::hit_merger(std::uint32_t limit)
    : limit_(limit)
    , lowest_score_(no_score)
{
}

void hit_merger::add(group_id source_group, std::span<const hit> hits)
{
    for (const auto& it : hits)
    {
        // NaN would break the total order.
        auto score = std::isnan(it.score) ? no_score : it.score;
        if (score < lowest_score_)
            continue;
        candidates_.push_back({{it.document, score}, source_group});
    }
    if (candidates_.size() > 2 * limit_ + candidate_slack)
        compact();
}

void hit_merger::clear()
{
    candidates_.clear();
    lowest_score_ = no_score;
}

std::vector<hit> hit_merger::take_hits()
{
    compact();
    std::vector<hit> result;
    result.reserve(candidates_.size());
    for (auto& it : candidates_)
        result.push_back(std::move(it.scored_hit));
    clear();
    return result;
}

bool hit_merger::is_better(const candidate& a, const candidate& b)
{
    if (a.scored_hit.score != b.scored_hit.score)
        return a.scored_hit.score > b.scored_hit.score;
    if (auto order = a.scored_hit.document.compare(b.scored_hit.document);
        order != 0)
        return order < 0;
    return std::tie(a.source_group.service, a.source_group.partition) <
           std::tie(b.source_group.service, b.source_group.partition);
}

void hit_merger::compact()
{
    std::sort(candidates_.begin(), candidates_.end(), is_better);
    std::unordered_set<std::string_view> seen_documents;
    std::vector<std::size_t> kept_indices;
    for (std::size_t n = 0;
         n < candidates_.size() && kept_indices.size() < limit_; ++n)
        if (seen_documents.insert(candidates_[n].scored_hit.document).second)
            kept_indices.push_back(n);
    // Moving a string may move its characters, so the views must go first.
    seen_documents.clear();
    for (std::size_t n = 0; n < kept_indices.size(); ++n)
        if (kept_indices[n] != n)
            candidates_[n] = std::move(candidates_[kept_indices[n]]);
    candidates_.resize(kept_indices.size());
    if (limit_ > 0 && candidates_.size() == limit_)
        lowest_score_ = candidates_.back().scored_hit.score;
}

} // namespace turmericlane
