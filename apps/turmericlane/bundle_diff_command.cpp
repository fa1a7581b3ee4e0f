#include "bundle_diff_command.h"

#include "bundle_output.h"
#include "table.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace turmericlane
{

namespace
{

/** Parses canonical JSON; an empty text, which stands for an absent value,
    becomes null. */
nlohmann::json parse_value(const std::string& text)
{
    if (text.empty())
        return nullptr;
    return nlohmann::json::parse(text, nullptr, false);
}

void print_table(const std::vector<bundle_change>& changes)
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
             {"old", parse_value(it.old_value)},
             {"new", parse_value(it.new_value)}});
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
    return "Lists the differences between two bundles or envelopes.";
}

int bundle_diff_command::run(std::span<const char* const> arguments)
{
    auto flags = make_settings();
    auto& json = add_json_flag(flags);
    std::vector<std::string> files;
    if (auto code = parse_arguments(flags, arguments, 2, files))
        return *code;
    auto old_text = read_bundle_text(files[0]);
    if (!old_text)
        return report_bundle_error(old_text.error(), json.value());
    auto new_text = read_bundle_text(files[1]);
    if (!new_text)
        return report_bundle_error(new_text.error(), json.value());
    auto changes = diff_bundles(*old_text, files[0], *new_text, files[1]);
    if (!changes)
        return report_bundle_error(changes.error(), json.value());
    if (json.value())
        print_json(*changes);
    else
        print_table(*changes);
    return exit_ok;
}

} // namespace turmericlane
