#include "bundle_delta.h"

#include "../parse/document.h"
#include "../parse/object_reader.h"

#include <algorithm>
#include <array>

namespace turmericlane
{

namespace
{

using apply_result = result<envelope, bundle_error>;

constexpr std::string_view delta_source = "delta";

/** `copy` and `move` are not accepted: make_delta doesn't need them, and
    repeated copies can double the size of the document with each operation. */
constexpr std::array<std::string_view, 4> accepted_operations = {
    "add", "remove", "replace", "test"};

/** Limits the nesting that added values can reach, because the library writes
    JSON recursively. */
constexpr std::size_t max_path_depth = 16;

apply_result fail(std::string path, std::string detail)
{
    return apply_result::failure(
        {std::string(delta_source), std::move(path), std::move(detail)});
}

/** Applies one operation. Throws the library's exceptions.
    @returns nothing on success, otherwise the error */
std::optional<std::string>
apply_operation(nlohmann::json& document, const nlohmann::json& operation)
{
    const auto& name = operation.at("op").get_ref<const std::string&>();
    if (std::find(
            accepted_operations.begin(), accepted_operations.end(), name) ==
        accepted_operations.end())
        return "op must be add, remove, replace or test";
    const auto& path = operation.at("path").get_ref<const std::string&>();
    if (std::count(path.begin(), path.end(), '/') >
        static_cast<std::ptrdiff_t>(max_path_depth))
        return "path depth exceeds " + std::to_string(max_path_depth);
    nlohmann::json::json_pointer pointer(path);
    if (pointer.empty())
        return "path must not be the whole document";
    // The library asserts that the parent of an added value is an object or
    // an array.
    if (!document.at(pointer.parent_pointer()).is_structured())
        return "parent of path is neither an object nor an array";
    document.patch_inplace(nlohmann::json::array({operation}));
    return std::nullopt;
}

/** Applies one operation and returns the text of an exception as the error. */
std::optional<std::string>
try_operation(nlohmann::json& document, const nlohmann::json& operation)
{
    try
    {
        return apply_operation(document, operation);
    }
    catch (const nlohmann::json::exception& ex)
    {
        return ex.what();
    }
}

/** Makes the envelope of the patched document. */
apply_result
make_patched_envelope(const bundle_delta& delta, const nlohmann::json& document)
{
    envelope patched_envelope;
    patched_envelope.canonical_bundle = canonical_text(document);
    patched_envelope.signature = delta.signature;
    patched_envelope.signer = delta.signer;
    auto version =
        document.is_object() ? document.find("version") : document.end();
    if (version == document.end() || !version->is_number_unsigned())
        return fail("/version", "missing from the result, or not an integer");
    patched_envelope.version = version->get<std::uint64_t>();
    if (patched_envelope.to_text().size() > max_bundle_bytes)
        return fail("", "the result is above the size limit");
    return patched_envelope;
}

} // namespace

std::string bundle_delta::to_text() const
{
    return R"({"base_hash":")" + to_hex(base_hash) + R"(","base_version":)" +
           std::to_string(base_version) + R"(,"key_id":")" + to_hex(signer) +
           R"(","patch":)" + patch + R"(,"signature":")" + to_hex(signature) +
           R"("})";
}

result<bundle_delta, bundle_error>
parse_delta(std::string_view text, std::string_view file)
{
    using delta_result = result<bundle_delta, bundle_error>;
    auto document = parse_document(text, file);
    if (!document)
        return delta_result::failure(document.error());
    error_recorder errors;
    object_reader reader(
        *document, "",
        {"base_hash", "base_version", "key_id", "patch", "signature"}, errors);
    bundle_delta parsed_delta;
    parsed_delta.base_version = reader.integer("base_version", 1, UINT64_MAX);
    reader.hex("base_hash", parsed_delta.base_hash);
    reader.hex("key_id", parsed_delta.signer);
    reader.hex("signature", parsed_delta.signature);
    parsed_delta.patch =
        canonical_text(reader.array("patch", 1, max_bundle_bytes));
    if (!errors.has_error())
        return parsed_delta;
    auto error = errors.first_error();
    error.file = file;
    return delta_result::failure(std::move(error));
}

std::optional<bundle_delta>
make_delta(const envelope& base, const envelope& later_envelope)
{
    auto base_document = parse_document(base.canonical_bundle, delta_source);
    auto later_document =
        parse_document(later_envelope.canonical_bundle, delta_source);
    if (!base_document || !later_document)
        return std::nullopt;
    bundle_delta delta;
    delta.base_version = base.version;
    delta.base_hash = hash_of(base.canonical_bundle);
    delta.patch =
        canonical_text(nlohmann::json::diff(*base_document, *later_document));
    delta.signature = later_envelope.signature;
    delta.signer = later_envelope.signer;
    if (delta.to_text().size() >= later_envelope.to_text().size())
        return std::nullopt;
    return delta;
}

result<envelope, bundle_error>
apply_delta(const envelope& base, const bundle_delta& delta)
{
    if (delta.base_version != base.version ||
        delta.base_hash != hash_of(base.canonical_bundle))
        return fail("/base_version", "the delta applies to another base");
    auto document = parse_document(base.canonical_bundle, delta_source);
    auto patch = parse_document(delta.patch, delta_source);
    if (!document)
        return apply_result::failure(document.error());
    if (!patch)
        return apply_result::failure(patch.error());
    if (!patch->is_array())
        return fail("/patch", "must be an array");
    for (std::size_t n = 0; n < patch->size(); ++n)
    {
        auto problem = try_operation(*document, (*patch)[n]);
        if (problem)
            return fail("/patch/" + std::to_string(n), *problem);
    }
    return make_patched_envelope(delta, *document);
}

} // namespace turmericlane
