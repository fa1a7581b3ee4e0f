#include "settings.h"

#include <algorithm>
#include <cassert>
#include <getopt.h>

namespace turmericlane
{

namespace
{

/** getopt_long returns this value for the first setting, the next value for the
    second setting, and so on. */
constexpr int first_setting_code = 256;
constexpr int help_code = 'h';

constexpr std::size_t max_printed_bytes = 100;

/** Returns a value for an error of one line: cut to max_printed_bytes, control
    characters replaced. */
std::string format_value(const setting& target, std::string_view value)
{
    if (target.description().is_secret)
        return "the value (hidden)";
    std::string text(value.substr(0, max_printed_bytes));
    std::replace_if(
        text.begin(), text.end(),
        [](unsigned char c) { return c < ' ' || c == 127; }, '?');
    return '"' + text + (value.size() > max_printed_bytes ? "...\"" : "\"");
}

std::string format_accepted_values(const setting& target)
{
    const auto& unit = target.description().unit;
    return target.accepted_values() + (unit.empty() ? "" : " (" + unit + ")");
}

std::string invalid_value_error(
    std::string_view source, const setting& target, std::string_view value)
{
    return std::string(source) + ": " + format_value(target, value) +
           " is wrong; accepted: " + format_accepted_values(target);
}

std::string flag_text(const setting& target)
{
    return "--" + target.description().name;
}

std::string
format_default(const setting& target, const std::string& default_text)
{
    if (target.description().is_required)
        return "required";
    if (default_text.empty())
        return "not set by default";
    return "default " + default_text;
}

} // namespace

settings::settings(std::string usage, std::string summary)
    : usage_(std::move(usage))
    , summary_(std::move(summary))
{
}

void settings::register_setting(std::unique_ptr<setting> new_setting)
{
    [[maybe_unused]] const auto& name = new_setting->description().name;
    assert(name != "help");
    assert(std::none_of(
        registered_settings_.begin(), registered_settings_.end(),
        [&](const registered_setting& it)
        { return it.typed_setting->description().name == name; }));
    auto default_text = new_setting->text();
    registered_settings_.push_back(
        {std::move(new_setting), std::move(default_text)});
}

parse_outcome settings::parse(
    std::span<const char* const> arguments,
    const environment& variables,
    std::size_t max_arguments)
{
    parse_outcome outcome;
    outcome.error = read_flags(arguments, outcome);
    if (outcome.state == parse_state::help)
        return outcome;
    if (outcome.error.empty())
        outcome.error = read_environment(variables);
    if (outcome.error.empty())
        outcome.error = find_missing_setting();
    if (outcome.error.empty() && outcome.arguments.size() > max_arguments)
        outcome.error =
            "unexpected argument \"" + outcome.arguments[max_arguments] +
            "\"; accepted: " + std::to_string(max_arguments) + " arguments";
    if (!outcome.error.empty())
        outcome.state = parse_state::invalid;
    return outcome;
}

std::string settings::read_flags(
    std::span<const char* const> arguments, parse_outcome& outcome)
{
    std::vector<option> options;
    for (std::size_t n = 0; n < registered_settings_.size(); ++n)
    {
        const auto& it = *registered_settings_[n].typed_setting;
        if (it.description().is_secret)
            continue;
        options.push_back(
            {it.description().name.c_str(),
             it.is_flag() ? optional_argument : required_argument, nullptr,
             first_setting_code + static_cast<int>(n)});
    }
    options.push_back({"help", no_argument, nullptr, help_code});
    options.push_back({});

    // getopt_long reorders the pointers, but does not change the texts.
    std::string program = "turmericlane";
    std::vector<char*> argument_pointers = {program.data()};
    for (const auto* it : arguments)
        argument_pointers.push_back(const_cast<char*>(it));
    argument_pointers.push_back(nullptr);
    auto count = static_cast<int>(argument_pointers.size()) - 1;
    optind = 0;
    opterr = 0;
    for (;;)
    {
        auto position = std::max(optind, 1);
        auto code = getopt_long(
            count, argument_pointers.data(), ":h", options.data(), nullptr);
        if (code == -1)
            break;
        if (code == help_code)
        {
            outcome.state = parse_state::help;
            return {};
        }
        if (code == ':' || code == '?')
            return std::string(
                       argument_pointers[std::max(optind - 1, position)]) +
                   (code == ':' ? ": the value is missing"
                                : ": unknown flag; see --help");
        auto index = static_cast<std::size_t>(code - first_setting_code);
        auto error = read_flag(registered_settings_[index], optarg);
        if (!error.empty())
            return error;
    }
    outcome.arguments.assign(
        argument_pointers.begin() + optind, argument_pointers.begin() + count);
    return {};
}

std::string
settings::read_flag(registered_setting& registration, const char* value)
{
    auto& target = *registration.typed_setting;
    if (registration.is_given)
        return flag_text(target) + ": given twice";
    registration.is_given = true;
    const char* text = value == nullptr ? "true" : value;
    if (target.assign(text))
        return {};
    return invalid_value_error(flag_text(target), target, text);
}

std::string settings::read_environment(const environment& variables)
{
    for (auto& it : registered_settings_)
    {
        if (it.is_given)
            continue;
        auto value = variables.find(it.typed_setting->environment_variable());
        if (!value || value->empty())
            continue;
        if (!it.typed_setting->assign(*value))
            return invalid_value_error(
                it.typed_setting->environment_variable(), *it.typed_setting,
                *value);
        it.is_given = true;
    }
    return {};
}

std::string settings::find_missing_setting() const
{
    for (const auto& it : registered_settings_)
    {
        const auto& description = it.typed_setting->description();
        if (it.is_given || !description.is_required)
            continue;
        auto sources = it.typed_setting->environment_variable();
        if (!description.is_secret)
            sources.insert(0, flag_text(*it.typed_setting) + " or ");
        return sources + ": the value is missing; accepted: " +
               format_accepted_values(*it.typed_setting);
    }
    return {};
}

std::string settings::help() const
{
    auto text = "Usage: " + usage_ + "\n\n" + summary_ + "\n\n";
    for (const auto& it : registered_settings_)
    {
        const auto& target = *it.typed_setting;
        const auto& description = target.description();
        if (description.is_secret)
            text +=
                "  " + target.environment_variable() + " (environment only)\n";
        else if (target.is_flag())
            text += "  " + flag_text(target) + "\n";
        else
            text += "  " + flag_text(target) + "=VALUE\n";
        text += "      " + description.help + "\n";
        text += "      " + format_accepted_values(target) + "; " +
                format_default(target, it.default_text);
        text += description.is_secret
                    ? "\n"
                    : "; " + target.environment_variable() + "\n";
    }
    return text + "  --help\n      Prints this text.\n";
}

std::vector<std::string> settings::describe() const
{
    std::vector<std::string> lines;
    for (const auto& it : registered_settings_)
    {
        const auto& description = it.typed_setting->description();
        auto value =
            description.is_secret ? "(hidden)" : it.typed_setting->text();
        lines.push_back(description.name + "=" + value);
    }
    return lines;
}

} // namespace turmericlane
