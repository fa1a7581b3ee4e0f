#pragma once

#include <turmericlane_bundle/turmericlane_bundle.h>

#include <string>

namespace turmericlane::standins
{

/** Reads a bundle from a file that holds it with or without an envelope. The
    signature is not checked.
    @returns the bundle, or an error that names the file */
result<bundle> load_bundle_file(const std::string& path);

} // namespace turmericlane::standins
