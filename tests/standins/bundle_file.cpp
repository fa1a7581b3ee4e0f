#include "bundle_file.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>

namespace turmericlane::standins
{

result<bundle> load_bundle_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text(std::istreambuf_iterator<char>(file), {});
    if (!file)
        return result<bundle>::failure(path + ": can't be read");
    auto document = parse_document(text, path);
    if (!document)
        return result<bundle>::failure(document.error().to_string());
    auto is_envelope = document->is_object() && document->contains("bundle");
    auto content =
        read_bundle(is_envelope ? (*document)["bundle"] : *document, path);
    if (!content)
        return result<bundle>::failure(content.error().to_string());
    return std::move(*content);
}

} // namespace turmericlane::standins
