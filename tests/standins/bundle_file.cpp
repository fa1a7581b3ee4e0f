#include "bundle_file.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>

namespace turmericlane::standins
{

result<bundle> load_bundle_file(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    std::string text(std::istreambuf_iterator<char>(in), {});
    if (!in)
        return result<bundle>::failure(path + ": can't be read");
    auto document = parse_document(text, path);
    if (!document)
        return result<bundle>::failure(document.error().to_string());
    auto wrapped = document->is_object() && document->contains("bundle");
    auto read = read_bundle(wrapped ? (*document)["bundle"] : *document, path);
    if (!read)
        return result<bundle>::failure(read.error().to_string());
    return std::move(*read);
}

} // namespace turmericlane::standins
