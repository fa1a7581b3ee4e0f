#include "envelope.h"

#include "../parse/object_reader.h"
#include "../parse/parse_bundle.h"

namespace turmericlane
{

namespace
{

using envelope_result = result<envelope, bundle_error>;

envelope_result
fail(std::string_view file, std::string path, std::string detail)
{
    return envelope_result::failure(
        {std::string(file), std::move(path), std::move(detail)});
}

} // namespace

std::string envelope::to_text() const
{
    return R"({"bundle":)" + canonical_bundle + R"(,"key_id":")" +
           to_hex(signer) + R"(","signature":")" + to_hex(signature) + R"("})";
}

result<envelope, bundle_error>
parse_envelope(std::string_view text, std::string_view file)
{
    auto document = parse_document(text, file);
    if (!document)
        return envelope_result::failure(document.error());
    error_recorder errors;
    object_reader reader(
        *document, "", {"bundle", "key_id", "signature"}, errors);
    envelope parsed_envelope;
    reader.hex("key_id", parsed_envelope.signer);
    reader.hex("signature", parsed_envelope.signature);
    const auto& bundle_document = reader.value("bundle");
    auto version = bundle_document.is_object() ? bundle_document.find("version")
                                               : bundle_document.end();
    if (version == bundle_document.end() || !version->is_number_unsigned())
        errors.add("/bundle/version", "missing, or not an integer");
    if (errors.has_error())
        return fail(
            file, errors.first_error().path, errors.first_error().detail);
    parsed_envelope.version = version->get<std::uint64_t>();
    parsed_envelope.canonical_bundle = canonical_text(bundle_document);
    return parsed_envelope;
}

result<envelope, bundle_error>
sign_bundle(std::string_view text, std::string_view file, const secret_key& key)
{
    auto document = parse_document(text, file);
    if (!document)
        return envelope_result::failure(document.error());
    auto content = read_bundle(*document, file);
    if (!content)
        return envelope_result::failure(content.error());
    envelope signed_bundle;
    signed_bundle.version = content->version;
    signed_bundle.canonical_bundle = canonical_text(*document);
    signed_bundle.signature = key.sign(signed_bundle.canonical_bundle);
    signed_bundle.signer = key_id_of(key.to_public_key());
    auto size = signed_bundle.to_text().size();
    if (size > max_bundle_bytes)
        return fail(
            file, "",
            std::to_string(size) + " bytes when signed; at most " +
                std::to_string(max_bundle_bytes) + " are accepted");
    return signed_bundle;
}

bool verify_envelope(const envelope& signed_bundle, const trusted_keys& keys)
{
    return keys.verify(
        signed_bundle.canonical_bundle, signed_bundle.signer,
        signed_bundle.signature);
}

} // namespace turmericlane
