#pragma once

#include "../model/bundle.h"
#include "object_reader.h"

#include <map>
#include <set>
#include <utility>

namespace turmericlane
{

/** Fills a bundle from a JSON document and keeps what has to be unique in it.
    One reader reads one document.

    @see read_bundle
*/
class bundle_reader
{
public:
    /** Reads the document. The bundle is meaningful only without errors. */
    bundle read(const nlohmann::json& document);

    /** Errors of the read. */
    const read_errors& errors() const noexcept;

private:
    void read_ranks(const nlohmann::json& value, bundle& into);
    rank_policy read_rank(const nlohmann::json& value, std::string path);
    search_policy read_policy(const nlohmann::json& value);
    void read_services(const object_reader& reader, bundle& into);
    service_map read_service(
        const nlohmann::json& value,
        const std::string& path,
        std::uint32_t candidates);
    group read_group(
        const nlohmann::json& value, std::string path, std::size_t partition);
    searcher read_searcher(const nlohmann::json& value, std::string path);

    read_errors errors_;
    /** First path of everything that may occur once. */
    std::map<std::string, std::string, std::less<>> names_;
    std::map<std::uint32_t, std::string> service_ids_;
    std::map<searcher_id, std::string> searcher_ids_;
    std::map<std::pair<std::string, std::uint16_t>, std::string> addresses_;
};

} // namespace turmericlane
