#pragma once

#include "../model/bundle.h"
#include "document.h"

namespace turmericlane
{

/** Reads and checks a bundle.

    Refuses an unknown, missing or duplicate field, a wrong type, a value out
    of range, a duplicate name, id or address, and a connection limit that
    leaves a candidate owner no connection. docs/bundle.md lists the fields.

    @param text  JSON of the bundle, without an envelope
    @param file  name to put into errors
    @returns the bundle, or the first error */
result<bundle, bundle_error>
parse_bundle(std::string_view text, std::string_view file);

/** The same for a document that parse_document returned. */
result<bundle, bundle_error>
read_bundle(const nlohmann::json& document, std::string_view file);

} // namespace turmericlane
