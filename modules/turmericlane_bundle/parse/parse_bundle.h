#pragma once

#include "../model/bundle.h"
#include "document.h"

namespace turmericlane
{

/** Reads and checks a bundle.

    Refuses unknown, missing and duplicate fields, wrong types, values out of
    range, duplicate names, ids and addresses, and a connection limit that
    allows no connection for each candidate owner. docs/bundle.md lists the
    fields.

    @param text  JSON of the bundle, without an envelope
    @param file  name of the source, for errors
    @returns the bundle, or the first error */
result<bundle, bundle_error>
parse_bundle(std::string_view text, std::string_view file);

/** Reads and checks a bundle in a document that parse_document returned. */
result<bundle, bundle_error>
read_bundle(const nlohmann::json& document, std::string_view file);

} // namespace turmericlane
