#pragma once

#include "bundle_diff.h"

#include <nlohmann/json.hpp>

namespace turmericlane
{

/** Lists the differences between two checked bundle documents.

    @see diff_bundles
*/
class document_differ
{
public:
    /** Compares two documents that read_bundle accepts. */
    void compare(
        const nlohmann::json& old_document, const nlohmann::json& new_document);

    /** Returns the differences, by a move, in the order of the documents. */
    std::vector<bundle_change> take_changes();

private:
    void compare_values(
        const nlohmann::json& old_value,
        const nlohmann::json& new_value,
        const std::string& path,
        change_subject subject);
    void compare_objects(
        const nlohmann::json& old_value,
        const nlohmann::json& new_value,
        const std::string& path,
        change_subject subject);
    void compare_arrays(
        const nlohmann::json& old_value,
        const nlohmann::json& new_value,
        const std::string& path,
        change_subject subject);
    void add_change(
        change_kind kind,
        change_subject subject,
        std::string path,
        const nlohmann::json* old_value,
        const nlohmann::json* new_value);

    std::vector<bundle_change> changes_;
};

} // namespace turmericlane
