#pragma once

#include "../parse/bundle_error.h"

#include <turmericlane_core/turmericlane_core.h>

#include <vector>

namespace turmericlane
{

/** How a value differs between two bundles. */
enum class change_kind : std::uint8_t
{
    added,
    removed,
    changed
};

/** Part of the bundle that a change affects. */
enum class change_subject : std::uint8_t
{
    setting,
    rank_policy,
    search_policy,
    service,
    group,
    searcher
};

/** Returns the name that the operators' client prints. */
std::string_view to_string(change_kind value) noexcept;

/** Returns the name that the operators' client prints. */
std::string_view to_string(change_subject value) noexcept;

/** One difference between two bundles. */
struct bundle_change
{
    change_kind kind = change_kind::changed;
    change_subject subject = change_subject::setting;
    /** Path to the value, in which services are identified by name, groups by
        partition and searchers by id, for example
        /services/fee_ledger/groups/3/searchers/41/port. */
    std::string path;
    /** Value in canonical JSON; empty if it was added. */
    std::string old_value;
    /** Value in canonical JSON; empty if it was removed. */
    std::string new_value;
};

/** Returns the differences between two bundles with their paths. Services are
    matched by name, groups by partition and searchers by id, so that the order
    of array elements doesn't matter.
    @param old_text  JSON of the earlier bundle
    @param old_file  name of its source, for errors
    @param new_text  JSON of the later bundle
    @param new_file  name of its source, for errors */
result<std::vector<bundle_change>, bundle_error> diff_bundles(
    std::string_view old_text,
    std::string_view old_file,
    std::string_view new_text,
    std::string_view new_file);

} // namespace turmericlane
