#include "bundle_sign_command.h"

#include "bundle_output.h"

#include <fstream>
#include <iostream>

namespace turmericlane
{

namespace
{

/** The key of the settings `signing-key-file` or `signing-key` (environment).
 */
result<secret_key>
load_signing_key(const std::string& path, const text_setting& from_environment)
{
    if (!path.empty())
        return load_secret_key(path);
    if (from_environment.value().empty())
        return result<secret_key>::failure(
            "no key: --signing-key-file or " +
            from_environment.environment_variable() + " is needed");
    return secret_key_from_environment(from_environment.environment_variable());
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
        return fail(path + ": can't be written");
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
    auto declared = make_settings();
    auto& path = declared.add<text_setting>(
        {"signing-key-file", "File of the secret key, mode 0600 or stricter."},
        "file name");
    auto& secret = declared.add<text_setting>(
        {"signing-key", "The secret key, if no file is given.", "", false,
         true},
        "64 hexadecimal digits", 64);
    auto& output = declared.add<text_setting>(
        {"output", "File to write; otherwise the standard output."},
        "file name");
    std::vector<std::string> files;
    if (auto code = read_usage(declared, arguments, 1, files))
        return *code;
    auto key = load_signing_key(path.value(), secret);
    if (!key)
        return fail(key.error());
    auto text = read_bundle_text(files[0]);
    if (!text)
        return report(text.error(), false);
    auto made = sign_bundle(*text, files[0], *key);
    if (!made)
        return report(made.error(), false);
    return write_text(output.value(), made->to_text());
}

} // namespace turmericlane
