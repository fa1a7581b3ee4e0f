#include "bundle_diff.h"

#include "document_differ.h"

#include "../parse/parse_bundle.h"

#include <nlohmann/json.hpp>

namespace turmericlane
{

namespace
{

using changes_result = result<std::vector<bundle_change>, bundle_error>;

result<nlohmann::json, bundle_error>
parse_and_check(std::string_view text, std::string_view file)
{
    auto document = parse_document(text, file);
    if (!document)
        return document;
    auto content = read_bundle(*document, file);
    if (!content)
        return result<nlohmann::json, bundle_error>::failure(content.error());
    return document;
}

} // namespace

std::string_view to_string(change_kind value) noexcept
{
    switch (value)
    {
    case change_kind::added:
        return "added";
    case change_kind::removed:
        return "removed";
    case change_kind::changed:
        return "changed";
    }
    return "unknown";
}

std::string_view to_string(change_subject value) noexcept
{
    switch (value)
    {
    case change_subject::setting:
        return "setting";
    case change_subject::rank_policy:
        return "rank_policy";
    case change_subject::search_policy:
        return "search_policy";
    case change_subject::service:
        return "service";
    case change_subject::group:
        return "group";
    case change_subject::searcher:
        return "searcher";
    }
    return "unknown";
}

result<std::vector<bundle_change>, bundle_error> diff_bundles(
    std::string_view old_text,
    std::string_view old_file,
    std::string_view new_text,
    std::string_view new_file)
{
    auto old_document = parse_and_check(old_text, old_file);
    if (!old_document)
        return changes_result::failure(old_document.error());
    auto new_document = parse_and_check(new_text, new_file);
    if (!new_document)
        return changes_result::failure(new_document.error());
    document_differ differ;
    differ.compare(*old_document, *new_document);
    return differ.take_changes();
}

} // namespace turmericlane
