#pragma once

#include <turmericlane_bundle/turmericlane_bundle.h>

#include <string>

namespace turmericlane::standins
{

/** Reads a bundle from a file with or without an envelope; the signature is
    not checked.
    @returns the bundle, or the reason with the file's name */
result<bundle> load_bundle_file(const std::string& path);

} // namespace turmericlane::standins
