#pragma once

#include "../parse/bundle_error.h"
#include "secret_key.h"
#include "trusted_keys.h"

namespace turmericlane
{

/** A bundle in canonical form with its signature, as it travels between the
    operators, the configuration service and the instances.

    An envelope is well-formed JSON; neither its signature nor the fields of
    the bundle are checked yet.

    @see version_store
*/
struct envelope
{
    /** The bundle in canonical form. */
    std::string canonical;
    /** Version that the bundle states. */
    std::uint64_t version = 0;
    signature_bytes signature{};
    key_id signer{};

    /** `{"bundle":...,"key_id":hex,"signature":hex}`. */
    std::string to_text() const;
};

/** Reads the text of an envelope and puts its bundle into canonical form.
    @param text  JSON of the envelope, max_bundle_bytes at most
    @param file  name to put into errors */
result<envelope, bundle_error>
parse_envelope(std::string_view text, std::string_view file);

/** Checks a bundle as parse_bundle does and signs its canonical form.
    @param text  JSON of the bundle
    @param file  name to put into errors
    @param key   key of an operator */
result<envelope, bundle_error> sign_bundle(
    std::string_view text, std::string_view file, const secret_key& key);

/** True if a trusted key signed the envelope. */
bool verify_envelope(const envelope& checked, const trusted_keys& trusted);

} // namespace turmericlane
