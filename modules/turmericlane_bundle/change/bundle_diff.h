#pragma once

#include "../parse/bundle_error.h"

#include <turmericlane_core/turmericlane_core.h>

#include <vector>

namespace turmericlane
{

/** What happened to a value between two bundles. */
enum class change_kind : std::uint8_t
{
    added,
    removed,
    changed
};

/** Part of the bundle that a change belongs to. */
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
    /** Path in which services are named by name, groups by partition and
        searchers by id, for example
        /services/fee_ledger/groups/3/searchers/41/port. */
    std::string path;
    /** Canonical JSON; empty if added. */
    std::string old_value;
    /** Canonical JSON; empty if removed. */
    std::string new_value;
};

/** Lists the differences between two bundles by path. Elements of arrays are
    matched by service name, partition and searcher id, so that their order
    doesn't matter.
    @param old_text  the earlier bundle in JSON
    @param old_file  its name, for errors
    @param new_text  the later bundle in JSON
    @param new_file  its name, for errors */
result<std::vector<bundle_change>, bundle_error> diff_bundles(
    std::string_view old_text,
    std::string_view old_file,
    std::string_view new_text,
    std::string_view new_file);

} // namespace turmericlane
