#include "document_differ.h"

#include "../parse/json_path.h"

#include <algorithm>
#include <map>

namespace turmericlane
{

namespace
{

/** Returns the part of the bundle that a field belongs to. */
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

/** Returns the field that identifies the elements of an array. */
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

/** True for an array of objects; elements of other types have no key. */
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
    const nlohmann::json& old_document, const nlohmann::json& new_document)
{
    compare_values(old_document, new_document, "", change_subject::setting);
}

std::vector<bundle_change> document_differ::take_changes()
{
    return std::move(changes_);
}

void document_differ::compare_values(
    const nlohmann::json& old_value,
    const nlohmann::json& new_value,
    const std::string& path,
    change_subject subject)
{
    if (old_value.is_object() && new_value.is_object())
        compare_objects(old_value, new_value, path, subject);
    else if (is_keyed(old_value) && is_keyed(new_value))
        compare_arrays(old_value, new_value, path, subject);
    else if (old_value != new_value)
        add_change(change_kind::changed, subject, path, &old_value, &new_value);
}

void document_differ::compare_objects(
    const nlohmann::json& old_value,
    const nlohmann::json& new_value,
    const std::string& path,
    change_subject subject)
{
    // Both documents were checked, so only an optional field can be missing
    // from one of them.
    for (const auto& it : old_value.items())
    {
        auto field_path = member_path(path, it.key());
        auto new_member = new_value.find(it.key());
        if (new_member == new_value.end())
            add_change(
                change_kind::removed, subject, field_path, &it.value(),
                nullptr);
        else
            compare_values(
                it.value(), *new_member, field_path,
                subject_of(it.key(), subject));
    }
    for (const auto& it : new_value.items())
        if (!old_value.contains(it.key()))
            add_change(
                change_kind::added, subject, member_path(path, it.key()),
                nullptr, &it.value());
}

void document_differ::compare_arrays(
    const nlohmann::json& old_value,
    const nlohmann::json& new_value,
    const std::string& path,
    change_subject subject)
{
    auto old_elements = index_elements(old_value, key_field(subject));
    auto new_elements = index_elements(new_value, key_field(subject));
    for (const auto& [key, element] : old_elements)
    {
        auto path_of_element = member_path(path, key_text(key));
        auto new_element = new_elements.find(key);
        if (new_element == new_elements.end())
            add_change(
                change_kind::removed, subject, path_of_element, element,
                nullptr);
        else
            compare_values(
                *element, *new_element->second, path_of_element, subject);
    }
    for (const auto& [key, element] : new_elements)
        if (!old_elements.contains(key))
            add_change(
                change_kind::added, subject, member_path(path, key_text(key)),
                nullptr, element);
}

void document_differ::add_change(
    change_kind kind,
    change_subject subject,
    std::string path,
    const nlohmann::json* old_value,
    const nlohmann::json* new_value)
{
    bundle_change change;
    change.kind = kind;
    change.subject = subject;
    change.path = std::move(path);
    if (old_value != nullptr)
        change.old_value = old_value->dump();
    if (new_value != nullptr)
        change.new_value = new_value->dump();
    changes_.push_back(std::move(change));
}

} // namespace turmericlane
