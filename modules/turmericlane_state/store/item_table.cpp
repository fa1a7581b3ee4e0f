#include "item_table.h"

#include <algorithm>
#include <set>

namespace turmericlane
{

namespace
{

/** Number of removals that are remembered for peers that have missed them. */
constexpr std::size_t max_remembered_removals = 4096;

const store_item* find_item(
    const std::map<std::string_view, const store_item*>& items,
    std::string_view key)
{
    const auto position = items.find(key);
    return position == items.end() ? nullptr : position->second;
}

std::map<std::string_view, const store_item*>
index_by_key(std::span<const store_item> items)
{
    std::map<std::string_view, const store_item*> index;
    for (const auto& it : items)
        index[it.key] = &it;
    return index;
}

} // namespace

item_table::item_table(const item_order& order)
    : order_(order)
{
}

bool item_table::apply(const store_item& item)
{
    auto& stored_item = items_[item.key];
    if (stored_item.revision >= item.revision)
        return false;
    stored_item = item;
    if (!item.value)
        record_removal(item.key);
    return !is_outlasted(item);
}

std::vector<store_item> item_table::apply_listing(
    std::span<const store_item> items,
    std::uint64_t revision,
    std::uint64_t known_revision)
{
    if (known_revision < revision)
    {
        forgotten_revision_ = std::max(forgotten_revision_, gap_end_);
        gap_begin_ = known_revision;
        gap_end_ = revision;
    }
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
        if (!is_outlasted(it))
            changed_items.push_back(it);
    }
    return changed_items;
}

bool item_table::is_ahead_of(
    std::span<const store_item> items,
    std::uint64_t revision,
    std::uint64_t end_revision) const
{
    if (end_revision == revision)
    {
        const auto listed_items = index_by_key(items);
        for (const auto& [key, it] : items_)
        {
            if (it.value && it.revision <= revision &&
                !listed_items.contains(key))
                return true;
        }
    }
    return std::any_of(
        items.begin(), items.end(),
        [&](const store_item& it)
        {
            // This table is complete up to the revision.
            if (it.revision > revision)
                return false;
            const auto held = items_.find(it.key);
            if (held == items_.end())
                return true;
            return held->second.revision <= revision && held->second != it;
        });
}

std::vector<store_item>
item_table::start_era(const new_era_listing& listing, time_point now)
{
    const auto listed_items = index_by_key(listing.items);
    const auto peer_items = index_by_key(listing.retained_items);
    std::set<std::string> keys;
    for (const auto& [key, it] : items_)
        keys.insert(key);
    for (const auto& [key, it] : retained_values_)
        keys.insert(key);
    for (const auto& [key, it] : listed_items)
        keys.emplace(key);
    for (const auto& [key, it] : peer_items)
        keys.emplace(key);

    std::map<std::string, store_item> new_items;
    std::map<std::string, retained_value> new_retained_values;
    std::vector<std::string> removed_keys;
    std::vector<store_item> changed_items;
    for (const auto& key : keys)
    {
        const auto held = value_in_effect(key);
        const auto* const listed_item = find_item(listed_items, key);
        const auto listed_value =
            listed_item != nullptr ? listed_item->value : std::nullopt;
        if (listed_item != nullptr)
            new_items[key] = *listed_item;
        const auto retained = choose_retained_value(
            key, held, find_item(peer_items, key), listed_value, listing);
        const auto is_retained = retained && retained->end > now;
        if (is_retained)
            new_retained_values.emplace(key, *retained);
        if (!listed_value && (held.is_known || is_retained))
            removed_keys.push_back(key);
        const auto& value = is_retained ? retained->value : listed_value;
        if (value != held.value)
            changed_items.push_back(
                {key,
                 listed_item != nullptr ? listed_item->revision
                                        : listing.revision,
                 value});
    }
    items_ = std::move(new_items);
    retained_values_ = std::move(new_retained_values);
    // Removals before the listing are not known to have happened in this era.
    forgotten_revision_ = listing.revision;
    gap_begin_ = 0;
    gap_end_ = 0;
    removed_keys_.clear();
    for (const auto& key : removed_keys)
    {
        items_[key] = {key, listing.revision, std::nullopt};
        record_removal(key);
    }
    return changed_items;
}

std::vector<store_item> item_table::end_retention(time_point now)
{
    std::vector<store_item> changed_items;
    for (auto position = retained_values_.begin();
         position != retained_values_.end();)
    {
        const auto& [key, retained] = *position;
        if (retained.end > now)
        {
            ++position;
            continue;
        }
        const auto stored_item = items_.find(key);
        const auto item = stored_item == items_.end()
                              ? store_item{key, 0, std::nullopt}
                              : stored_item->second;
        if (item.value != retained.value)
            changed_items.push_back(item);
        position = retained_values_.erase(position);
    }
    return changed_items;
}

void item_table::extend_retention(time_point end)
{
    for (auto& [key, it] : retained_values_)
        it.end = std::max(it.end, end);
}

time_point item_table::next_retention_end() const
{
    auto end = time_point::max();
    for (const auto& [key, it] : retained_values_)
        end = std::min(end, it.end);
    return end;
}

std::optional<std::vector<store_item>>
item_table::changes_since(std::uint64_t revision) const
{
    if (revision < forgotten_revision_ ||
        (revision > gap_begin_ && revision < gap_end_))
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

std::vector<store_item> item_table::retained_items() const
{
    std::vector<store_item> items;
    for (const auto& [key, it] : retained_values_)
        items.push_back({key, 0, it.value});
    return items;
}

item_table::known_value
item_table::value_in_effect(const std::string& key) const
{
    if (const auto position = retained_values_.find(key);
        position != retained_values_.end())
        return {true, position->second.value};
    if (const auto position = items_.find(key); position != items_.end())
        return {true, position->second.value};
    return {};
}

std::optional<item_table::retained_value> item_table::choose_retained_value(
    const std::string& key,
    const known_value& held,
    const store_item* peer_item,
    const std::optional<std::string>& listed_value,
    const new_era_listing& listing) const
{
    auto value = held.value;
    const auto is_removed =
        held.is_known ? !held.value : peer_item != nullptr && !peer_item->value;
    if (!is_removed && peer_item != nullptr && peer_item->value &&
        (!value || order_.retention(key, *peer_item->value, *value) !=
                       item_retention::none))
        value = peer_item->value;
    const auto temporary_end =
        listed_value ? listing.older_end : listing.missing_end;
    if (is_removed)
        return listed_value
                   ? std::optional(retained_value{std::nullopt, temporary_end})
                   : std::nullopt;
    if (!value || value == listed_value)
        return std::nullopt;
    switch (order_.retention(key, *value, listed_value))
    {
    case item_retention::none:
        return std::nullopt;
    case item_retention::temporary:
        return retained_value{std::move(value), temporary_end};
    case item_retention::lasting:
        return retained_value{std::move(value), time_point::max()};
    }
    return std::nullopt;
}

bool item_table::is_outlasted(const store_item& item)
{
    const auto position = retained_values_.find(item.key);
    if (position == retained_values_.end())
        return false;
    const auto& retained = position->second;
    if (retained.value)
    {
        const auto retention =
            order_.retention(item.key, *retained.value, item.value);
        // The removal of an item that the store holds is no loss of changes.
        if (retention == item_retention::lasting ||
            (retention == item_retention::temporary && item.value))
            return true;
    }
    retained_values_.erase(position);
    return false;
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
