#pragma once

#include "bundle_error.h"

#include <turmericlane_core/turmericlane_core.h>

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace turmericlane
{

/** Maximum size of every text that holds a bundle. It is the limit of the
    configuration service for one value. */
inline constexpr std::size_t max_bundle_bytes = 1'000'000;

/** Parses JSON more strictly than the library does: refuses duplicate keys,
    text larger than max_bundle_bytes and nesting deeper than 16.

    A real number without a fraction becomes an integer, so that `1` and `1.0`
    have one canonical form.

    @param text  the document
    @param file  name of the source, for errors */
result<nlohmann::json, bundle_error>
parse_document(std::string_view text, std::string_view file);

/** Returns the canonical form of a document: sorted keys, no spaces.
    Signatures and hashes cover exactly these bytes. */
std::string canonical_text(const nlohmann::json& document);

} // namespace turmericlane
