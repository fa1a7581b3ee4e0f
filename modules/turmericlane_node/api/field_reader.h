#pragma once

#include "api_error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <span>

namespace turmericlane
{

/** Reads and validates the fields of one JSON object and keeps the first error.

    After the first error each call returns a placeholder, so that a function
    can read all fields and check error() once.

    @see api_error
*/
class field_reader
{
public:
    /** Parses a request body.
        @param body           text of the request
        @param allowed_names  names of the fields that may appear */
    field_reader(
        std::string_view body, std::span<const std::string_view> allowed_names);

    /** Reads a string whose length in bytes is in the range.
        @param default_value  value of a missing field; without it, the field is
                              required */
    std::string read_text(
        std::string_view name,
        std::size_t min_bytes,
        std::size_t max_bytes,
        std::optional<std::string> default_value = std::nullopt);

    /** Reads an integer in the range.
        @param default_value  value of a missing field; without it, the field is
                              required */
    std::int64_t read_integer(
        std::string_view name,
        std::int64_t min,
        std::int64_t max,
        std::optional<std::int64_t> default_value = std::nullopt);

    /** Reads a list of 1 to max_count different strings. */
    std::vector<std::string>
    read_texts(std::string_view name, std::size_t max_count);

    /** Reads a rank; ordinary if the field is missing. */
    rank read_rank(std::string_view name);

    /** Reads the time left until the deadline, in milliseconds. Zero or less is
        the error deadline_past.
        @param default_value  value of a missing field */
    std::chrono::milliseconds read_time_left(
        std::string_view name, std::chrono::milliseconds default_value);

    /** Records an error unless there already is one. */
    void set_error(reason cause, std::string detail);

    /** Returns the first error; nullopt if there is none. */
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

/** Returns the request_id in a body that was not validated, for refusals that
    come before validation; an empty string if there is none. */
std::string request_id_of(std::string_view body);

} // namespace turmericlane
