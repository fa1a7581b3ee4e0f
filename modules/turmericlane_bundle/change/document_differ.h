#pragma once

#include "bundle_diff.h"

#include <nlohmann/json.hpp>

namespace turmericlane
{

/** Walks through two checked bundle documents and lists where they differ.

    @see diff_bundles
*/
class document_differ
{
public:
    /** Compares two documents that read_bundle accepts. */
    void compare(const nlohmann::json& from, const nlohmann::json& to);

    /** The differences, in the order of the documents. */
    std::vector<bundle_change> take();

private:
    void walk(
        const nlohmann::json& from,
        const nlohmann::json& to,
        const std::string& path,
        change_subject subject);
    void walk_objects(
        const nlohmann::json& from,
        const nlohmann::json& to,
        const std::string& path,
        change_subject subject);
    void walk_arrays(
        const nlohmann::json& from,
        const nlohmann::json& to,
        const std::string& path,
        change_subject subject);
    void note(
        change_kind kind,
        change_subject subject,
        std::string path,
        const nlohmann::json* from,
        const nlohmann::json* to);

    std::vector<bundle_change> changes_;
};

} // namespace turmericlane
