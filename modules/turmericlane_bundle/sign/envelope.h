#pragma once

#include "../parse/bundle_error.h"
#include "secret_key.h"
#include "trusted_keys.h"

namespace turmericlane
{

/** A bundle in canonical form with its signature. This is the form in which
    operators, the configuration service and instances exchange it.

    The JSON of an envelope is well-formed, but its signature and the fields of
    the bundle may still be invalid.

    @see version_store
*/
struct envelope
{
    /** The bundle in canonical form. */
    std::string canonical_bundle;
    /** Version in the bundle. */
    std::uint64_t version = 0;
    signature_bytes signature{};
    /** Identifier of the key that made the signature. */
    key_id signer{};

    /** Returns the envelope as JSON:
        `{"bundle":...,"key_id":hex,"signature":hex}`. */
    std::string to_text() const;
};

/** Reads the text of an envelope and puts its bundle into canonical form.
    @param text  JSON of the envelope, at most max_bundle_bytes
    @param file  name of the source, for errors */
result<envelope, bundle_error>
parse_envelope(std::string_view text, std::string_view file);

/** Checks a bundle as parse_bundle does and signs its canonical form.
    @param text  JSON of the bundle
    @param file  name of the source, for errors
    @param key   secret key of an operator */
result<envelope, bundle_error> sign_bundle(
    std::string_view text, std::string_view file, const secret_key& key);

/** True if the envelope has a valid signature of a trusted key. */
bool verify_envelope(const envelope& signed_bundle, const trusted_keys& keys);

} // namespace turmericlane
