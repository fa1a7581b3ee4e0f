#include "document_differ.h"

#include "../parse/json_path.h"

#include <algorithm>
#include <map>

namespace turmericlane
{

namespace
{

/** Part of the bundle that a field leads to. */
change_subject subject_of(std::string_view field, change_subject parent)
{
    if (field == "ranks")
        return change_subject::rank_policy;
    if (field == "policy")
        return change_subject::search_policy;
    if (field == "services")
        return change_subject::service;
    if (field == "groups")
        return change_subject::group;
    if (field == "searchers")
        return change_subject::searcher;
    return parent;
}

/** Field that identifies the elements of an array. */
const char* key_field(change_subject subject)
{
    switch (subject)
    {
    case change_subject::service:
        return "name";
    case change_subject::group:
        return "partition";
    default:
        return "id";
    }
}

using keyed_elements = std::map<nlohmann::json, const nlohmann::json*>;

keyed_elements index_elements(const nlohmann::json& array, const char* field)
{
    keyed_elements elements;
    for (const auto& it : array)
        elements.emplace(it.at(field), &it);
    return elements;
}

/** True for an array of objects; the elements of others have no key. */
bool is_keyed(const nlohmann::json& value)
{
    return value.is_array() &&
           std::all_of(
               value.begin(), value.end(),
               [](const nlohmann::json& it) { return it.is_object(); });
}

std::string key_text(const nlohmann::json& key)
{
    return key.is_string() ? key.get<std::string>() : key.dump();
}

} // namespace

void document_differ::compare(
    const nlohmann::json& from, const nlohmann::json& to)
{
    walk(from, to, "", change_subject::setting);
}

std::vector<bundle_change> document_differ::take()
{
    return std::move(changes_);
}

void document_differ::walk(
    const nlohmann::json& from,
    const nlohmann::json& to,
    const std::string& path,
    change_subject subject)
{
    if (from.is_object() && to.is_object())
        walk_objects(from, to, path, subject);
    else if (is_keyed(from) && is_keyed(to))
        walk_arrays(from, to, path, subject);
    else if (from != to)
        note(change_kind::changed, subject, path, &from, &to);
}

void document_differ::walk_objects(
    const nlohmann::json& from,
    const nlohmann::json& to,
    const std::string& path,
    change_subject subject)
{
    // Both documents were checked: only an optional field can be in just one.
    for (const auto& it : from.items())
    {
        auto field = member_path(path, it.key());
        auto found = to.find(it.key());
        if (found == to.end())
            note(change_kind::removed, subject, field, &it.value(), nullptr);
        else
            walk(it.value(), *found, field, subject_of(it.key(), subject));
    }
    for (const auto& it : to.items())
        if (!from.contains(it.key()))
            note(
                change_kind::added, subject, member_path(path, it.key()),
                nullptr, &it.value());
}

void document_differ::walk_arrays(
    const nlohmann::json& from,
    const nlohmann::json& to,
    const std::string& path,
    change_subject subject)
{
    auto old_elements = index_elements(from, key_field(subject));
    auto new_elements = index_elements(to, key_field(subject));
    for (const auto& [key, element] : old_elements)
    {
        auto element_at = member_path(path, key_text(key));
        auto found = new_elements.find(key);
        if (found == new_elements.end())
            note(change_kind::removed, subject, element_at, element, nullptr);
        else
            walk(*element, *found->second, element_at, subject);
    }
    for (const auto& [key, element] : new_elements)
        if (!old_elements.contains(key))
            note(
                change_kind::added, subject, member_path(path, key_text(key)),
                nullptr, element);
}

void document_differ::note(
    change_kind kind,
    change_subject subject,
    std::string path,
    const nlohmann::json* from,
    const nlohmann::json* to)
{
    bundle_change made;
    made.kind = kind;
    made.subject = subject;
    made.path = std::move(path);
    if (from != nullptr)
        made.old_value = from->dump();
    if (to != nullptr)
        made.new_value = to->dump();
    changes_.push_back(std::move(made));
}

} // namespace turmericlane
