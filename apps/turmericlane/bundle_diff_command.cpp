#include "bundle_diff_command.h"

#include "bundle_output.h"
#include "table.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace turmericlane
{

namespace
{

/** Canonical JSON as a value; null for a value that isn't there. */
nlohmann::json value_of(const std::string& text)
{
    if (text.empty())
        return nullptr;
    return nlohmann::json::parse(text, nullptr, false);
}

void print_changes(const std::vector<bundle_change>& changes)
{
    table lines({"change", "subject", "path", "old", "new"});
    for (const auto& it : changes)
        lines.add(
            {std::string(to_string(it.kind)),
             std::string(to_string(it.subject)), it.path, it.old_value,
             it.new_value});
    lines.write(std::cout);
}

void print_json(const std::vector<bundle_change>& changes)
{
    auto list = nlohmann::json::array();
    for (const auto& it : changes)
        list.push_back(
            {{"change", to_string(it.kind)},
             {"subject", to_string(it.subject)},
             {"path", it.path},
             {"old", value_of(it.old_value)},
             {"new", value_of(it.new_value)}});
    std::cout << list.dump() << '\n';
}

} // namespace

std::string_view bundle_diff_command::name() const noexcept
{
    return "bundle diff";
}

std::string_view bundle_diff_command::usage() const noexcept
{
    return "[--json] OLD NEW";
}

std::string_view bundle_diff_command::summary() const noexcept
{
    return "Lists what differs between two bundles or envelopes.";
}

int bundle_diff_command::run(std::span<const char* const> arguments)
{
    auto declared = make_settings();
    auto& json = add_json(declared);
    std::vector<std::string> files;
    if (auto code = read_usage(declared, arguments, 2, files))
        return *code;
    auto from = read_bundle_text(files[0]);
    if (!from)
        return report(from.error(), json.value());
    auto to = read_bundle_text(files[1]);
    if (!to)
        return report(to.error(), json.value());
    auto changes = diff_bundles(*from, files[0], *to, files[1]);
    if (!changes)
        return report(changes.error(), json.value());
    if (json.value())
        print_json(*changes);
    else
        print_changes(*changes);
    return exit_ok;
}

} // namespace turmericlane
