#pragma once

#include <turmericlane_core/turmericlane_core.h>

#include <optional>
#include <string>
#include <string_view>

namespace turmericlane::bench
{

/** Origin of a hit, as its document id states it. */
struct document
{
    std::uint64_t query = 0;
    std::uint64_t snapshot = 0;
    std::uint64_t epoch = 0;
    group_id group;

    friend bool operator==(const document&, const document&) = default;
};

/** Returns the document id that states an origin. */
std::string make_document(
    std::uint64_t query,
    std::uint64_t snapshot,
    std::uint64_t epoch,
    group_id group);

/** Parses a document id. Returns nothing if it does not state an origin. */
std::optional<document> parse_document(std::string_view text);

/** Returns the number of a query from its text, which must be a number. */
std::uint64_t query_number(std::string_view text);

} // namespace turmericlane::bench
