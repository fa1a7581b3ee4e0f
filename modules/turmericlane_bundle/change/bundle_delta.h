#pragma once

#include "../sign/envelope.h"

namespace turmericlane
{

/** The difference between a bundle version and a later one as an RFC 6902
    patch.

    It contains the signature of the later version. The signature is checked
    against the whole bundle after the patch is applied.

    @see make_delta, apply_delta, version_store
*/
struct bundle_delta
{
    /** Version of the bundle to which the patch applies. */
    std::uint64_t base_version = 0;
    /** Hash of that bundle in canonical form. */
    content_hash base_hash{};
    /** RFC 6902 patch as JSON text. */
    std::string patch;
    /** Signature of the later version. */
    signature_bytes signature{};
    /** Identifier of the key that made the signature. */
    key_id signer{};

    /** Returns the delta as JSON. */
    std::string to_text() const;
};

/** Reads the text of a delta.
    @param text  JSON of the delta, at most max_bundle_bytes
    @param file  name of the source, for errors */
result<bundle_delta, bundle_error>
parse_delta(std::string_view text, std::string_view file);

/** Makes the delta from a base to a later envelope.
    @returns nothing if the delta's text is not smaller than that of the later
             envelope */
std::optional<bundle_delta>
make_delta(const envelope& base, const envelope& later_envelope);

/** Applies a delta to its base. Refuses another base, operations other than
    add, remove, replace and test, and a result larger than max_bundle_bytes.
    Does not check the signature of the result. */
result<envelope, bundle_error>
apply_delta(const envelope& base, const bundle_delta& delta);

} // namespace turmericlane
