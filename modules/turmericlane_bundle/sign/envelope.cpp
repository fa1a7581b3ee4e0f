#include "envelope.h"

#include "../parse/object_reader.h"
#include "../parse/parse_bundle.h"

namespace turmericlane
{

namespace
{

using made = result<envelope, bundle_error>;

made fail(std::string_view file, std::string path, std::string detail)
{
    return made::failure(
        {std::string(file), std::move(path), std::move(detail)});
}

} // namespace

std::string envelope::to_text() const
{
    return R"({"bundle":)" + canonical + R"(,"key_id":")" + to_hex(signer) +
           R"(","signature":")" + to_hex(signature) + R"("})";
}

result<envelope, bundle_error>
parse_envelope(std::string_view text, std::string_view file)
{
    auto document = parse_document(text, file);
    if (!document)
        return made::failure(document.error());
    error_recorder errors;
    object_reader reader(
        *document, "", {"bundle", "key_id", "signature"}, errors);
    envelope read;
    reader.hex("key_id", read.signer);
    reader.hex("signature", read.signature);
    const auto& content = reader.value("bundle");
    auto version =
        content.is_object() ? content.find("version") : content.end();
    if (version == content.end() || !version->is_number_unsigned())
        errors.add("/bundle/version", "missing, or not an integer");
    if (errors.has_error())
        return fail(file, errors.first_error().path, errors.first_error().detail);
    read.version = version->get<std::uint64_t>();
    read.canonical = canonical_text(content);
    return read;
}

result<envelope, bundle_error>
sign_bundle(std::string_view text, std::string_view file, const secret_key& key)
{
    auto document = parse_document(text, file);
    if (!document)
        return made::failure(document.error());
    auto content = read_bundle(*document, file);
    if (!content)
        return made::failure(content.error());
    envelope signed_bundle;
    signed_bundle.version = content->version;
    signed_bundle.canonical = canonical_text(*document);
    signed_bundle.signature = key.sign(signed_bundle.canonical);
    signed_bundle.signer = id_of(key.to_public());
    auto size = signed_bundle.to_text().size();
    if (size > max_bundle_bytes)
        return fail(
            file, "",
            std::to_string(size) + " bytes when signed; at most " +
                std::to_string(max_bundle_bytes) + " are accepted");
    return signed_bundle;
}

bool verify_envelope(const envelope& checked, const trusted_keys& trusted)
{
    return trusted.verify(checked.canonical, checked.signer, checked.signature);
}

} // namespace turmericlane
