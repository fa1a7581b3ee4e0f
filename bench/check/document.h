#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <optional>
#include <string>
#include <string_view>

namespace turmericlane::bench
{

/** What a fake hit's document id states about its origin. */
struct document
{
    std::uint64_t query = 0;
    std::uint64_t snapshot = 0;
    std::uint64_t epoch = 0;
    group_id group;

    friend bool operator==(const document&, const document&) = default;
};

/** Returns the document id that states these. */
std::string make_document(
    std::uint64_t query,
    std::uint64_t snapshot,
    std::uint64_t epoch,
    group_id group);

/** Reads a document id, or returns nothing if it isn't from a fake. */
std::optional<document> parse_document(std::string_view text);

/** Number of a query from its text; the text must be a number. */
std::uint64_t query_number(std::string_view text);

} // namespace turmericlane::bench
