#include "bundle_delta.h"

#include "../parse/document.h"
#include "../parse/object_reader.h"

#include <algorithm>
#include <array>

namespace turmericlane
{

namespace
{

using applied = result<envelope, bundle_error>;

constexpr std::string_view delta_name = "delta";

/** `copy` and `move` are left out: make_delta doesn't need them, and repeated
    copies double the size of the document with every operation. */
constexpr std::array<std::string_view, 4> accepted_operations = {
    "add", "remove", "replace", "test"};

/** Bounds the nesting that additions can build up; the library writes JSON
    recursively. */
constexpr std::size_t max_path_depth = 16;

applied fail(std::string path, std::string detail)
{
    return applied::failure(
        {std::string(delta_name), std::move(path), std::move(detail)});
}

/** Applies one operation. Throws the library's exceptions.
    @returns nothing on success, otherwise what is wrong */
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
        return "path is deeper than " + std::to_string(max_path_depth);
    nlohmann::json::json_pointer pointer(path);
    if (pointer.empty())
        return "path must not be the whole document";
    // The library asserts that the parent of an addition is no plain value.
    if (!document.at(pointer.parent_pointer()).is_structured())
        return "parent of path is no object or array";
    document.patch_inplace(nlohmann::json::array({operation}));
    return std::nullopt;
}

/** Applies one operation and turns exceptions into text. */
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

/** Turns the patched document into an envelope. */
applied finish(const bundle_delta& delta, const nlohmann::json& document)
{
    envelope made;
    made.canonical = canonical_text(document);
    made.signature = delta.signature;
    made.signer = delta.signer;
    auto version =
        document.is_object() ? document.find("version") : document.end();
    if (version == document.end() || !version->is_number_unsigned())
        return fail("/version", "missing from the result, or not an integer");
    made.version = version->get<std::uint64_t>();
    if (made.to_text().size() > max_bundle_bytes)
        return fail("", "the result is above the size limit");
    return made;
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
    using made = result<bundle_delta, bundle_error>;
    auto document = parse_document(text, file);
    if (!document)
        return made::failure(document.error());
    error_recorder errors;
    object_reader reader(
        *document, "",
        {"base_hash", "base_version", "key_id", "patch", "signature"}, errors);
    bundle_delta read;
    read.base_version = reader.integer("base_version", 1, UINT64_MAX);
    reader.hex("base_hash", read.base_hash);
    reader.hex("key_id", read.signer);
    reader.hex("signature", read.signature);
    read.patch = canonical_text(reader.array("patch", 1, max_bundle_bytes));
    if (!errors.has_error())
        return read;
    auto error = errors.first_error();
    error.file = file;
    return made::failure(std::move(error));
}

std::optional<bundle_delta>
make_delta(const envelope& base, const envelope& later)
{
    auto from = parse_document(base.canonical, delta_name);
    auto to = parse_document(later.canonical, delta_name);
    if (!from || !to)
        return std::nullopt;
    bundle_delta made;
    made.base_version = base.version;
    made.base_hash = hash_of(base.canonical);
    made.patch = canonical_text(nlohmann::json::diff(*from, *to));
    made.signature = later.signature;
    made.signer = later.signer;
    if (made.to_text().size() >= later.to_text().size())
        return std::nullopt;
    return made;
}

result<envelope, bundle_error>
apply_delta(const envelope& base, const bundle_delta& delta)
{
    if (delta.base_version != base.version ||
        delta.base_hash != hash_of(base.canonical))
        return fail("/base_version", "the delta is for another base");
    auto document = parse_document(base.canonical, delta_name);
    auto patch = parse_document(delta.patch, delta_name);
    if (!document)
        return applied::failure(document.error());
    if (!patch)
        return applied::failure(patch.error());
    if (!patch->is_array())
        return fail("/patch", "must be an array");
    for (std::size_t n = 0; n < patch->size(); ++n)
    {
        auto problem = try_operation(*document, (*patch)[n]);
        if (problem)
            return fail("/patch/" + std::to_string(n), *problem);
    }
    return finish(delta, *document);
}

} // namespace turmericlane
