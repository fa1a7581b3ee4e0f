#include "bundle_sign_command.h"

#include "bundle_output.h"

#include <fstream>
#include <iostream>

namespace turmericlane
{

namespace
{

/** Loads the key from the file of `signing-key-file`; without one, from the
    environment variable of `signing-key`. */
result<secret_key>
load_signing_key(const std::string& path, const text_setting& key_variable)
{
    if (!path.empty())
        return load_secret_key(path);
    if (key_variable.value().empty())
        return result<secret_key>::failure(
            "no signing key: --signing-key-file or " +
            key_variable.environment_variable() + " is needed");
    return secret_key_from_environment(key_variable.environment_variable());
}

int write_text(const std::string& path, const std::string& text)
{
    if (path.empty())
    {
        std::cout << text << '\n';
        return std::cout.flush() ? exit_ok : exit_failed;
    }
    std::ofstream file(path, std::ios::binary);
    file << text << '\n';
    if (!file.flush())
        return report_failure(path + ": can't be written");
    return exit_ok;
}

} // namespace

std::string_view bundle_sign_command::name() const noexcept
{
    return "bundle sign";
}

std::string_view bundle_sign_command::usage() const noexcept
{
    return "[--signing-key-file=FILE] [--output=FILE] FILE";
}

std::string_view bundle_sign_command::summary() const noexcept
{
    return "Checks a bundle, signs it and writes the envelope.";
}

int bundle_sign_command::run(std::span<const char* const> arguments)
{
    auto flags = make_settings();
    auto& key_path = flags.add<text_setting>(
        {"signing-key-file",
         "File with the secret key, mode 0600 or stricter."},
        "file name");
    auto& signing_key = flags.add<text_setting>(
        {"signing-key", "The secret key, if no file is given.", "", false,
         true},
        "64 hexadecimal digits", 64);
    auto& output = flags.add<text_setting>(
        {"output", "File to write; standard output if not given."},
        "file name");
    std::vector<std::string> files;
    if (auto code = parse_arguments(flags, arguments, 1, files))
        return *code;
    auto key = load_signing_key(key_path.value(), signing_key);
    if (!key)
        return report_failure(key.error());
    auto text = read_bundle_text(files[0]);
    if (!text)
        return report_bundle_error(text.error(), false);
    auto signed_envelope = sign_bundle(*text, files[0], *key);
    if (!signed_envelope)
        return report_bundle_error(signed_envelope.error(), false);
    return write_text(output.value(), signed_envelope->to_text());
}

} // namespace turmericlane
