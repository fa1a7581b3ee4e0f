#pragma once

#include "read_errors.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace turmericlane
{

/** Reads the fields of one JSON object and checks type and range of each.

    The constructor reports fields that are unknown or missing. After an error
    every method returns the lowest value of its range.

    @see read_bundle
*/
class object_reader
{
public:
    /** @param value   the object; must outlive the reader
        @param path    JSON pointer to it
        @param fields  names of the fields; each must be there
        @param errors  receives errors; must outlive the reader
        @param optional  names of further fields, which may be missing */
    object_reader(
        const nlohmann::json& value,
        std::string path,
        std::initializer_list<std::string_view> fields,
        read_errors& errors,
        std::initializer_list<std::string_view> optional = {});

    /** An integer from lowest to highest. */
    std::uint64_t integer(
        std::string_view field,
        std::uint64_t lowest,
        std::uint64_t highest) const;

    /** An integer whose range fits into 32 bits. */
    std::uint32_t integer32(
        std::string_view field,
        std::uint32_t lowest,
        std::uint32_t highest) const;

    /** A number from lowest to highest. */
    double number(std::string_view field, double lowest, double highest) const;

    /** A truth value. */
    bool boolean(std::string_view field) const;

    /** A name: a lower-case letter, then up to 63 lower-case letters, digits
        or underscores. */
    std::string name(std::string_view field) const;

    /** An IPv4 or IPv6 number in the form that inet_ntop writes, so that equal
        addresses have equal texts. */
    std::string address(std::string_view field) const;

    /** Fills the span from exactly two hexadecimal digits for each byte. */
    void hex(std::string_view field, std::span<std::uint8_t> into) const;

    /** An array of lowest to highest elements; an empty one after an error. */
    const nlohmann::json& array(
        std::string_view field, std::size_t lowest, std::size_t highest) const;

    /** Names, by the rules of name; empty if the field is missing. */
    std::vector<std::string>
    optional_names(std::string_view field, std::size_t highest) const;

    /** Any value; null after an error. */
    const nlohmann::json& value(std::string_view field) const;

    /** JSON pointer to a field. */
    std::string path_of(std::string_view field) const;

    /** Reports an error at a field. */
    void fail(std::string_view field, std::string detail) const;

private:
    /** The field, or null after an error. */
    const nlohmann::json* find(std::string_view field) const;

    /** The value as a name; after an error, which names the path, it may be
        none. */
    std::string
    read_name(const std::string& path, const nlohmann::json& value) const;

    const nlohmann::json& value_;
    std::string path_;
    read_errors& errors_;
};

} // namespace turmericlane
