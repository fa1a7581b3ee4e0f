#pragma once

#include "../sign/envelope.h"

namespace turmericlane
{

/** The step from one bundle version to a later one as an RFC 6902 patch.

    It carries the signature of the later version, which is checked over the
    whole bundle once the patch is applied.

    @see make_delta, apply_delta, version_store
*/
struct bundle_delta
{
    std::uint64_t base_version = 0;
    /** Hash of the base in canonical form. */
    content_hash base_hash{};
    /** RFC 6902 patch as JSON text. */
    std::string patch;
    signature_bytes signature{};
    key_id signer{};

    /** The delta as JSON text. */
    std::string to_text() const;
};

/** Reads the text of a delta.
    @param text  JSON, max_bundle_bytes at most
    @param file  name to put into errors */
result<bundle_delta, bundle_error>
parse_delta(std::string_view text, std::string_view file);

/** Makes the delta between two envelopes.
    @returns nothing if the delta's text is not smaller than that of the later
             envelope */
std::optional<bundle_delta>
make_delta(const envelope& base, const envelope& later);

/** Applies a delta to its base. Refuses another base, operations other than
    add, remove, replace and test, and a result above max_bundle_bytes. The
    signature of the result is not checked here. */
result<envelope, bundle_error>
apply_delta(const envelope& base, const bundle_delta& delta);

} // namespace turmericlane
