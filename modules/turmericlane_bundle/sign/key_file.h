#pragma once

#include "secret_key.h"
#include "trusted_keys.h"

namespace turmericlane
{

/** Reads a secret key from a file of 64 hexadecimal digits.

    The file must be a regular file that only its owner may read (mode 0600 or
    stricter).
    @returns the key, or an error that contains the file name but never the
             content of the file */
result<secret_key> load_secret_key(const std::string& path);

/** Reads a secret key, 64 hexadecimal digits, from an environment variable.
    @returns the key, or an error that contains the name of the variable */
result<secret_key> secret_key_from_environment(const std::string& variable);

/** Reads public keys from a file with 64 hexadecimal digits on each line. Lines
    that start with # are ignored. */
result<trusted_keys> load_trusted_keys(const std::string& path);

/** Writes the secret key to `path` (mode 0600) and the public key to
    `path`.pub. Neither file may exist.
    @returns nothing on success, otherwise the error */
std::optional<std::string>
write_key_files(const std::string& path, const secret_key& key);

} // namespace turmericlane
