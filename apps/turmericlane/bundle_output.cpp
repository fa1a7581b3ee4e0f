#include "bundle_output.h"

#include "command.h"
#include "table.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace turmericlane
{

result<std::string, bundle_error> read_bundle_text(const std::string& path)
{
    using made = result<std::string, bundle_error>;
    auto text = read_file(path, max_bundle_bytes);
    if (!text)
        return made::failure({path, {}, text.error()});
    auto document = parse_document(*text, path);
    if (!document)
        return made::failure(document.error());
    if (!document->is_object() || !document->contains("signature"))
        return *text;
    auto read = parse_envelope(*text, path);
    if (!read)
        return made::failure(read.error());
    return read->canonical_bundle;
}

nlohmann::json summarise(const bundle& of, const std::string& hash)
{
    std::size_t groups = 0;
    std::size_t searchers = 0;
    for (const auto& service : of.services)
    {
        groups += service.groups.size();
        for (const auto& it : service.groups)
            searchers += it.searchers.size();
    }
    return {
        {"version", of.version},
        {"services", of.services.size()},
        {"groups", groups},
        {"searchers", searchers},
        {"hash", hash}};
}

void print_summary(const nlohmann::json& summary, bool as_json)
{
    if (as_json)
    {
        std::cout << summary.dump() << '\n';
        return;
    }
    table fields({"field", "value"});
    for (const auto& it : summary.items())
        fields.add({it.key(), cell_text(it.value())});
    fields.write(std::cout);
}

int report(const bundle_error& error, bool as_json)
{
    if (as_json)
        std::cout << nlohmann::json({{"file", error.file},
                                     {"path", error.path},
                                     {"error", error.detail}})
                         .dump()
                  << '\n';
    return fail(error.to_string());
}

flag_setting& add_json(settings& to)
{
    return to.add<flag_setting>({"json", "Print JSON for scripts."});
}

} // namespace turmericlane
