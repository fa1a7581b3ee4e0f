#include "bundle_keygen_command.h"

#include "bundle_output.h"

#include <nlohmann/json.hpp>

namespace turmericlane
{

std::string_view bundle_keygen_command::name() const noexcept
{
    return "bundle keygen";
}

std::string_view bundle_keygen_command::usage() const noexcept
{
    return "FILE";
}

std::string_view bundle_keygen_command::summary() const noexcept
{
    return "Writes a new secret key to FILE and its public key to FILE.pub.";
}

int bundle_keygen_command::run(std::span<const char* const> arguments)
{
    auto flags = make_settings();
    auto& json = add_json_flag(flags);
    std::vector<std::string> files;
    if (auto code = parse_arguments(flags, arguments, 1, files))
        return *code;
    auto key = secret_key::generate();
    if (auto error = write_key_files(files[0], key))
        return report_failure(*error);
    auto public_key_bytes = key.to_public_key();
    print_summary(
        {{"public_key", to_hex(public_key_bytes)},
         {"key_id", to_hex(key_id_of(public_key_bytes))}},
        json.value());
    return exit_ok;
}

} // namespace turmericlane
