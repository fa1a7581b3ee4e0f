#include "settings.h"

#include <algorithm>
#include <cassert>
#include <getopt.h>

namespace turmericlane
{

namespace
{

/** Values returned by getopt_long: settings count from here. */
constexpr int first_setting_code = 256;
constexpr int help_code = 'h';

constexpr std::size_t max_shown_bytes = 100;

/** Value for an error of one line: without control characters and cut. */
std::string shown(const setting& of, std::string_view value)
{
    if (of.description().secret)
        return "the value (hidden)";
    std::string text(value.substr(0, max_shown_bytes));
    std::replace_if(
        text.begin(), text.end(),
        [](unsigned char c) { return c < ' ' || c == 127; }, '?');
    return '"' + text + (value.size() > max_shown_bytes ? "...\"" : "\"");
}

std::string accepted_text(const setting& of)
{
    const auto& unit = of.description().unit;
    return of.accepted() + (unit.empty() ? "" : " (" + unit + ")");
}

std::string
wrong_value(std::string_view source, const setting& of, std::string_view value)
{
    return std::string(source) + ": " + shown(of, value) +
           " is wrong; accepted: " + accepted_text(of);
}

std::string flag_of(const setting& of)
{
    return "--" + of.description().name;
}

std::string describe_default(const setting& of, const std::string& default_text)
{
    if (of.description().required)
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

void settings::take(std::unique_ptr<setting> added)
{
    [[maybe_unused]] const auto& name = added->description().name;
    assert(name != "help");
    assert(std::none_of(
        entries_.begin(), entries_.end(),
        [&](const entry& it)
        { return it.declared->description().name == name; }));
    auto default_text = added->text();
    entries_.push_back({std::move(added), std::move(default_text)});
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
        outcome.error = find_missing();
    if (outcome.error.empty() && outcome.arguments.size() > max_arguments)
        outcome.error =
            "unexpected argument \"" + outcome.arguments[max_arguments] +
            "\"; accepted: " + std::to_string(max_arguments) + " arguments";
    if (!outcome.error.empty())
        outcome.state = parse_state::wrong;
    return outcome;
}

std::string settings::read_flags(
    std::span<const char* const> arguments, parse_outcome& outcome)
{
    std::vector<option> options;
    for (std::size_t n = 0; n < entries_.size(); ++n)
    {
        const auto& it = *entries_[n].declared;
        if (it.description().secret)
            continue;
        options.push_back(
            {it.description().name.c_str(),
             it.is_flag() ? optional_argument : required_argument, nullptr,
             first_setting_code + static_cast<int>(n)});
    }
    options.push_back({"help", no_argument, nullptr, help_code});
    options.push_back({});

    // getopt_long reorders the array, but leaves the texts as they are.
    std::string program = "turmericlane";
    std::vector<char*> list = {program.data()};
    for (const auto* it : arguments)
        list.push_back(const_cast<char*>(it));
    list.push_back(nullptr);
    auto count = static_cast<int>(list.size()) - 1;
    optind = 0;
    opterr = 0;
    for (;;)
    {
        auto position = std::max(optind, 1);
        auto code =
            getopt_long(count, list.data(), ":h", options.data(), nullptr);
        if (code == -1)
            break;
        if (code == help_code)
        {
            outcome.state = parse_state::help;
            return {};
        }
        if (code == ':' || code == '?')
            return std::string(list[std::max(optind - 1, position)]) +
                   (code == ':' ? ": the value is missing"
                                : ": unknown flag; see --help");
        auto index = static_cast<std::size_t>(code - first_setting_code);
        auto error = read_flag(entries_[index], optarg);
        if (!error.empty())
            return error;
    }
    outcome.arguments.assign(list.begin() + optind, list.begin() + count);
    return {};
}

std::string settings::read_flag(entry& into, const char* value)
{
    auto& target = *into.declared;
    if (into.given)
        return flag_of(target) + ": given twice";
    into.given = true;
    const char* text = value == nullptr ? "true" : value;
    if (target.assign(text))
        return {};
    return wrong_value(flag_of(target), target, text);
}

std::string settings::read_environment(const environment& variables)
{
    for (auto& it : entries_)
    {
        if (it.given)
            continue;
        auto value = variables.find(it.declared->variable());
        if (!value || value->empty())
            continue;
        if (!it.declared->assign(*value))
            return wrong_value(it.declared->variable(), *it.declared, *value);
        it.given = true;
    }
    return {};
}

std::string settings::find_missing() const
{
    for (const auto& it : entries_)
    {
        const auto& description = it.declared->description();
        if (it.given || !description.required)
            continue;
        auto names = it.declared->variable();
        if (!description.secret)
            names.insert(0, flag_of(*it.declared) + " or ");
        return names + ": the value is missing; accepted: " +
               accepted_text(*it.declared);
    }
    return {};
}

std::string settings::help() const
{
    auto text = "Usage: " + usage_ + "\n\n" + summary_ + "\n\n";
    for (const auto& it : entries_)
    {
        const auto& of = *it.declared;
        const auto& description = of.description();
        if (description.secret)
            text += "  " + of.variable() + " (environment only)\n";
        else if (of.is_flag())
            text += "  " + flag_of(of) + "\n";
        else
            text += "  " + flag_of(of) + "=VALUE\n";
        text += "      " + description.help + "\n";
        text += "      " + accepted_text(of) + "; " +
                describe_default(of, it.default_text);
        text += description.secret ? "\n" : "; " + of.variable() + "\n";
    }
    return text + "  --help\n      Prints this text.\n";
}

std::vector<std::string> settings::describe() const
{
    std::vector<std::string> lines;
    for (const auto& it : entries_)
    {
        const auto& description = it.declared->description();
        auto value = description.secret ? "(hidden)" : it.declared->text();
        lines.push_back(description.name + "=" + value);
    }
    return lines;
}

} // namespace turmericlane
