#include "bundle_check_command.h"

#include "bundle_output.h"

#include <nlohmann/json.hpp>

namespace turmericlane
{

std::string_view bundle_check_command::name() const noexcept
{
    return "bundle check";
}

std::string_view bundle_check_command::usage() const noexcept
{
    return "[--json] FILE";
}

std::string_view bundle_check_command::summary() const noexcept
{
    return "Checks a bundle, or the bundle in an envelope.";
}

int bundle_check_command::run(std::span<const char* const> arguments)
{
    auto flags = make_settings();
    auto& json = add_json_flag(flags);
    std::vector<std::string> files;
    if (auto code = parse_arguments(flags, arguments, 1, files))
        return *code;
    auto text = read_bundle_text(files[0]);
    if (!text)
        return report_bundle_error(text.error(), json.value());
    auto document = parse_document(*text, files[0]);
    if (!document)
        return report_bundle_error(document.error(), json.value());
    auto content = read_bundle(*document, files[0]);
    if (!content)
        return report_bundle_error(content.error(), json.value());
    auto hash = to_hex(hash_of(canonical_text(*document)));
    print_summary(summarize_bundle(*content, hash), json.value());
    return exit_ok;
}

} // namespace turmericlane
