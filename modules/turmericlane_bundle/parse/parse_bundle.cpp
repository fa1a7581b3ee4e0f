#include "parse_bundle.h"

#include "bundle_reader.h"

namespace turmericlane
{

result<bundle, bundle_error>
parse_bundle(std::string_view text, std::string_view file)
{
    auto document = parse_document(text, file);
    if (!document)
        return result<bundle, bundle_error>::failure(document.error());
    return read_bundle(*document, file);
}

result<bundle, bundle_error>
read_bundle(const nlohmann::json& document, std::string_view file)
{
    bundle_reader reader;
    auto content = reader.read(document);
    if (!reader.errors().has_error())
        return content;
    auto error = reader.errors().first_error();
    error.file = file;
    return result<bundle, bundle_error>::failure(std::move(error));
}

} // namespace turmericlane
