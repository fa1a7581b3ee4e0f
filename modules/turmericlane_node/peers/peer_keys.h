#pragma once

#include <turmericlane_wire/turmericlane_wire.h>

#include <string>

namespace turmericlane
{

/** Reads the keys that instances share: 64 hexadecimal digits in each line. The
    file must be readable by its owner only. Errors never quote its content.
    @param path  the file, or "env:NAME" for an environment variable */
result<shared_key_list> load_peer_keys(const std::string& path);

} // namespace turmericlane
