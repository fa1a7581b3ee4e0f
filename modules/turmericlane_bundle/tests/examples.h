#pragma once

#include <turmericlane_bundle/turmericlane_bundle.h>

#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>

namespace turmericlane
{

/** Returns the text of examples/NAME.json. */
inline std::string read_example(const std::string& name)
{
    std::ifstream file(
        std::string(TURMERICLANE_SOURCE_DIR) + "/examples/" + name + ".json");
    if (!file)
        throw std::runtime_error("no example " + name);
    return {std::istreambuf_iterator<char>(file), {}};
}

/** Returns the parsed document of examples/NAME.json. */
inline nlohmann::json example_document(const std::string& name)
{
    return nlohmann::json::parse(read_example(name));
}

/** Returns the example bundle of Norte with another version. */
inline nlohmann::json norte_version(std::uint64_t version)
{
    auto document = example_document("norte");
    document["version"] = version;
    return document;
}

} // namespace turmericlane
