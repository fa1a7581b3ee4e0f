#include "bundle_output.h"

#include "command.h"
#include "table.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace turmericlane
{

result<std::string, bundle_error> read_bundle_text(const std::string& path)
{
    using text_result = result<std::string, bundle_error>;
    auto text = read_file(path, max_bundle_bytes);
    if (!text)
        return text_result::failure({path, {}, text.error()});
    auto document = parse_document(*text, path);
    if (!document)
        return text_result::failure(document.error());
    if (!document->is_object() || !document->contains("signature"))
        return *text;
    auto parsed_envelope = parse_envelope(*text, path);
    if (!parsed_envelope)
        return text_result::failure(parsed_envelope.error());
    return parsed_envelope->canonical_bundle;
}

nlohmann::json summarize_bundle(const bundle& content, const std::string& hash)
{
    std::size_t groups = 0;
    std::size_t searchers = 0;
    for (const auto& service : content.services)
    {
        groups += service.groups.size();
        for (const auto& it : service.groups)
            searchers += it.searchers.size();
    }
    return {
        {"version", content.version},
        {"services", content.services.size()},
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

int report_bundle_error(const bundle_error& error, bool as_json)
{
    if (as_json)
        std::cout << nlohmann::json({{"file", error.file},
                                     {"path", error.path},
                                     {"error", error.detail}})
                         .dump()
                  << '\n';
    return report_failure(error.to_string());
}

flag_setting& add_json_flag(settings& flags)
{
    return flags.add<flag_setting>({"json", "Print JSON for scripts."});
}

} // namespace turmericlane
