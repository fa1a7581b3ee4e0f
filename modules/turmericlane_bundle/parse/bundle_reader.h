#pragma once

#include "../model/bundle.h"
#include "object_reader.h"

#include <map>
#include <set>
#include <utility>

namespace turmericlane
{

/** Builds a bundle from a JSON document and checks that names, ids and
    addresses are unique in it. A reader reads one document only.

    @see read_bundle
*/
class bundle_reader
{
public:
    /** Reads the document. The returned bundle is valid only if there are no
        errors. */
    bundle read(const nlohmann::json& document);

    /** Returns the errors of the document that was read. */
    const error_recorder& errors() const noexcept;

private:
    void read_ranks(const nlohmann::json& value, bundle& output);
    rank_policy read_rank(const nlohmann::json& value, std::string path);
    search_policy read_policy(const nlohmann::json& value);
    void read_services(const object_reader& reader, bundle& output);
    service_map read_service(
        const nlohmann::json& value,
        const std::string& path,
        std::uint32_t candidate_count);
    group read_group(
        const nlohmann::json& value, std::string path, std::size_t partition);
    searcher read_searcher(const nlohmann::json& value, std::string path);

    error_recorder errors_;
    /** Values that must be unique, each with the JSON pointer to its first
        occurrence. */
    std::map<std::string, std::string, std::less<>> service_names_;
    std::map<std::uint32_t, std::string> service_ids_;
    std::map<searcher_id, std::string> searcher_ids_;
    std::map<std::pair<std::string, std::uint16_t>, std::string>
        searcher_endpoints_;
};

} // namespace turmericlane
