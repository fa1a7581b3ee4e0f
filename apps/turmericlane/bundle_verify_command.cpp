#include "bundle_verify_command.h"

#include "bundle_output.h"

#include <nlohmann/json.hpp>

namespace turmericlane
{

namespace
{

result<trusted_keys>
load_trust(const std::string& path, const std::string& list)
{
    if (!path.empty())
        return load_trusted_keys(path);
    if (list.empty())
        return result<trusted_keys>::failure(
            "no key: --trusted-keys-file or --trusted-keys is needed");
    return trusted_keys::parse(list);
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
    auto declared = make_settings();
    auto& json = add_json(declared);
    auto& path = declared.add<text_setting>(
        {"trusted-keys-file", "File of public keys, one on each line."},
        "file name");
    auto& list = declared.add<text_setting>(
        {"trusted-keys", "Public keys, separated by commas."},
        "hexadecimal digits");
    std::vector<std::string> files;
    if (auto code = read_usage(declared, arguments, 1, files))
        return *code;
    auto trusted = load_trust(path.value(), list.value());
    if (!trusted)
        return fail(trusted.error());
    auto text = read_file(files[0], max_bundle_bytes);
    if (!text)
        return fail(text.error());
    auto read = parse_envelope(*text, files[0]);
    if (!read)
        return report(read.error(), json.value());
    if (!verify_envelope(*read, *trusted))
        return report(
            {files[0], "/signature", "no trusted key made this signature"},
            json.value());
    auto content = parse_bundle(read->canonical_bundle, files[0]);
    if (!content)
        return report(content.error(), json.value());
    auto summary = summarise(*content, to_hex(hash_of(read->canonical_bundle)));
    summary["key_id"] = to_hex(read->signer);
    print_summary(summary, json.value());
    return exit_ok;
}

} // namespace turmericlane
