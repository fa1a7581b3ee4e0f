#include "item_table.h"

#include <algorithm>
#include <set>

namespace turmericlane
{

namespace
{

/** Removals that are remembered for peers that have missed them. */
constexpr std::size_t max_removals = 4096;

} // namespace

bool item_table::apply(const store_item& item)
{
    auto& known = items_[item.key];
    if (known.revision >= item.revision)
        return false;
    known = item;
    if (!item.value)
        note_removal(item.key);
    return true;
}

std::vector<store_item> item_table::apply_complete(
    std::span<const store_item> items, std::uint64_t revision)
{
    std::vector<store_item> changed;
    std::set<std::string_view> present;
    for (const auto& it : items)
    {
        present.insert(it.key);
        if (apply(it))
            changed.push_back(it);
    }
    std::vector<store_item> gone;
    for (const auto& [key, it] : items_)
    {
        if (it.value && it.revision <= revision && !present.contains(key))
            gone.push_back({key, revision, std::nullopt});
    }
    for (const auto& it : gone)
    {
        items_[it.key] = it;
        note_removal(it.key);
        changed.push_back(it);
    }
    return changed;
}

std::optional<std::vector<store_item>>
item_table::since(std::uint64_t revision) const
{
    if (revision < forgotten_)
        return std::nullopt;
    std::vector<store_item> made;
    for (const auto& [key, it] : items_)
    {
        if (it.revision > revision)
            made.push_back(it);
    }
    return made;
}

std::vector<store_item> item_table::existing() const
{
    std::vector<store_item> made;
    for (const auto& [key, it] : items_)
    {
        if (it.value)
            made.push_back(it);
    }
    return made;
}

void item_table::note_removal(const std::string& key)
{
    removed_.push_back(key);
    if (removed_.size() <= max_removals)
        return;
    const auto found = items_.find(removed_.front());
    removed_.pop_front();
    if (found == items_.end() || found->second.value)
        return;
    forgotten_ = std::max(forgotten_, found->second.revision);
    items_.erase(found);
}

} // namespace turmericlane
