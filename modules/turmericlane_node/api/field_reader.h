#pragma once

#include "api_error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <span>

namespace turmericlane
{

/** Reads the fields of one JSON object strictly and keeps the first error.

    After the first error every call returns an empty value, so that callers
    read all fields and check error() once.

    @see api_error
*/
class field_reader
{
public:
    /** Parses a request body.
        @param body     text of the request
        @param allowed  names of the fields that may appear */
    field_reader(
        std::string_view body, std::span<const std::string_view> allowed_names);

    /** Reads a string whose length is in the range, in bytes. */
    std::string read_text(
        std::string_view name,
        std::size_t min_bytes,
        std::size_t max_bytes,
        std::optional<std::string> default_value = std::nullopt);

    /** Reads an integer in the range. */
    std::int64_t read_integer(
        std::string_view name,
        std::int64_t min,
        std::int64_t max,
        std::optional<std::int64_t> default_value = std::nullopt);

    /** Reads a list of strings without repetition, with 1 to max_count
        entries. */
    std::vector<std::string>
    read_texts(std::string_view name, std::size_t max_count);

    /** Reads a rank; ordinary where the field is missing. */
    rank read_rank(std::string_view name);

    /** Reads the deadline in milliseconds from now. Zero or less is
        deadline_past.
        @param otherwise  value where the field is missing */
    std::chrono::milliseconds read_time_left(
        std::string_view name, std::chrono::milliseconds default_value);

    /** Keeps an error unless there is one already. */
    void set_error(reason cause, std::string detail);

    /** The first error, or nothing. */
    const std::optional<api_error>& error() const noexcept
    {
        return error_;
    }

private:
    const nlohmann::json* find(std::string_view name, bool is_required);

    nlohmann::json object_;
    std::string caller_request_id_;
    std::optional<api_error> error_;
};

/** Returns the request_id of a body whose fields aren't checked, or an empty
    text, for refusals that come before the checks. */
std::string request_id_of(std::string_view body);

} // namespace turmericlane
