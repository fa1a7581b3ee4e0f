#include "document.h"

#include "document_builder.h"

namespace turmericlane
{

result<nlohmann::json, bundle_error>
parse_document(std::string_view text, std::string_view file)
{
    using parse_result = result<nlohmann::json, bundle_error>;
    if (text.size() > max_bundle_bytes)
    {
        auto detail = std::to_string(text.size()) + " bytes; at most " +
                      std::to_string(max_bundle_bytes) + " are accepted";
        return parse_result::failure(
            {std::string(file), {}, std::move(detail)});
    }
    document_builder builder;
    auto is_parsed =
        nlohmann::json::sax_parse(text.begin(), text.end(), &builder);
    if (is_parsed && !builder.error())
        return builder.take_document();
    auto error = builder.error().value_or(bundle_error{{}, {}, "not JSON"});
    error.file = file;
    return parse_result::failure(std::move(error));
}

std::string canonical_text(const nlohmann::json& document)
{
    return document.dump();
}

} // namespace turmericlane
