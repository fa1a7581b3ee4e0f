#pragma once

#include "bundle_error.h"

#include <turmericlane_core/turmericlane_core.h>

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace turmericlane
{

/** Limit of every text that holds a bundle: the size of a value of the
    configuration service. */
inline constexpr std::size_t max_bundle_bytes = 1'000'000;

/** Parses JSON more strictly than the library: refuses duplicate keys, text
    above max_bundle_bytes and nesting deeper than 16.

    A real number without a fraction becomes an integer, so that `1` and `1.0`
    have one canonical form.

    @param text  the document
    @param file  name to put into errors */
result<nlohmann::json, bundle_error>
parse_document(std::string_view text, std::string_view file);

/** Canonical form of a document: sorted keys, no spaces. Signatures and
    hashes cover these bytes. */
std::string canonical_text(const nlohmann::json& document);

} // namespace turmericlane
