#include "bundle_diff.h"

#include "document_differ.h"

#include "../parse/parse_bundle.h"

#include <nlohmann/json.hpp>

namespace turmericlane
{

namespace
{

using changes = result<std::vector<bundle_change>, bundle_error>;

result<nlohmann::json, bundle_error>
read_checked(std::string_view text, std::string_view file)
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
    auto from = read_checked(old_text, old_file);
    if (!from)
        return changes::failure(from.error());
    auto to = read_checked(new_text, new_file);
    if (!to)
        return changes::failure(to.error());
    document_differ differ;
    differ.compare(*from, *to);
    return differ.take();
}

} // namespace turmericlane
