#include "item_table.h"

#include <algorithm>
#include <set>

namespace turmericlane
{

namespace
{

/** Number of removals that are remembered for peers that have missed them. */
constexpr std::size_t max_remembered_removals = 4096;

} // namespace

bool item_table::apply(const store_item& item)
{
    auto& stored_item = items_[item.key];
    if (stored_item.revision >= item.revision)
        return false;
    stored_item = item;
    if (!item.value)
        record_removal(item.key);
    return true;
}

std::vector<store_item> item_table::apply_listing(
    std::span<const store_item> items, std::uint64_t revision)
{
    std::vector<store_item> changed_items;
    std::set<std::string_view> listed_keys;
    for (const auto& it : items)
    {
        listed_keys.insert(it.key);
        if (apply(it))
            changed_items.push_back(it);
    }
    std::vector<store_item> removed_items;
    for (const auto& [key, it] : items_)
    {
        if (it.value && it.revision <= revision && !listed_keys.contains(key))
            removed_items.push_back({key, revision, std::nullopt});
    }
    for (const auto& it : removed_items)
    {
        items_[it.key] = it;
        record_removal(it.key);
        changed_items.push_back(it);
    }
    return changed_items;
}

std::optional<std::vector<store_item>>
item_table::changes_since(std::uint64_t revision) const
{
    if (revision < forgotten_revision_)
        return std::nullopt;
    std::vector<store_item> changes;
    for (const auto& [key, it] : items_)
    {
        if (it.revision > revision)
            changes.push_back(it);
    }
    return changes;
}

std::vector<store_item> item_table::existing_items() const
{
    std::vector<store_item> items;
    for (const auto& [key, it] : items_)
    {
        if (it.value)
            items.push_back(it);
    }
    return items;
}

void item_table::record_removal(const std::string& key)
{
    removed_keys_.push_back(key);
    if (removed_keys_.size() <= max_remembered_removals)
        return;
    const auto it = items_.find(removed_keys_.front());
    removed_keys_.pop_front();
    if (it == items_.end() || it->second.value)
        return;
    forgotten_revision_ = std::max(forgotten_revision_, it->second.revision);
    items_.erase(it);
}

} // namespace turmericlane
