#include "bundle_verify_command.h"

#include "bundle_output.h"

#include <nlohmann/json.hpp>

namespace turmericlane
{

namespace
{

result<trusted_keys>
read_trusted_keys(const std::string& key_path, const std::string& key_list)
{
    if (!key_path.empty())
        return load_trusted_keys(key_path);
    if (key_list.empty())
        return result<trusted_keys>::failure(
            "no trusted key: --trusted-keys-file or --trusted-keys is needed");
    return trusted_keys::parse(key_list);
}

} // namespace

std::string_view bundle_verify_command::name() const noexcept
{
    return "bundle verify";
}

std::string_view bundle_verify_command::usage() const noexcept
{
    return "[--trusted-keys-file=FILE | --trusted-keys=LIST] [--json] FILE";
}

std::string_view bundle_verify_command::summary() const noexcept
{
    return "Checks the signature and the content of an envelope.";
}

int bundle_verify_command::run(std::span<const char* const> arguments)
{
    auto flags = make_settings();
    auto& json = add_json_flag(flags);
    auto& key_path = flags.add<text_setting>(
        {"trusted-keys-file", "File with public keys, one per line."},
        "file name");
    auto& key_list = flags.add<text_setting>(
        {"trusted-keys", "Public keys, separated by commas."},
        "hexadecimal digits");
    std::vector<std::string> files;
    if (auto code = parse_arguments(flags, arguments, 1, files))
        return *code;
    auto keys = read_trusted_keys(key_path.value(), key_list.value());
    if (!keys)
        return report_failure(keys.error());
    auto text = read_file(files[0], max_bundle_bytes);
    if (!text)
        return report_failure(text.error());
    auto parsed_envelope = parse_envelope(*text, files[0]);
    if (!parsed_envelope)
        return report_bundle_error(parsed_envelope.error(), json.value());
    if (!verify_envelope(*parsed_envelope, *keys))
        return report_bundle_error(
            {files[0], "/signature", "the signature is not from a trusted key"},
            json.value());
    auto content = parse_bundle(parsed_envelope->canonical_bundle, files[0]);
    if (!content)
        return report_bundle_error(content.error(), json.value());
    auto summary = summarize_bundle(
        *content, to_hex(hash_of(parsed_envelope->canonical_bundle)));
    summary["key_id"] = to_hex(parsed_envelope->signer);
    print_summary(summary, json.value());
    return exit_ok;
}

} // namespace turmericlane
