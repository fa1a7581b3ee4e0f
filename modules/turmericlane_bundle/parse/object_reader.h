#pragma once

#include "error_recorder.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace turmericlane
{

/** Reads the fields of one JSON object and checks the type and range of each.

    The constructor reports unknown and missing fields. After an error every
    method returns the lowest value of its range, or an empty value.

    @see read_bundle
*/
class object_reader
{
public:
    /** @param object           the object; must outlive the reader
        @param path             JSON pointer to the object
        @param required_fields  names of the fields that must be present
        @param errors           receives errors; must outlive the reader
        @param optional_fields  names of the fields that may be missing */
    object_reader(
        const nlohmann::json& object,
        std::string path,
        std::initializer_list<std::string_view> required_fields,
        error_recorder& errors,
        std::initializer_list<std::string_view> optional_fields = {});

    /** Returns an integer from min_value to max_value. */
    std::uint64_t integer(
        std::string_view field,
        std::uint64_t min_value,
        std::uint64_t max_value) const;

    /** Returns an integer whose range fits into 32 bits. */
    std::uint32_t integer32(
        std::string_view field,
        std::uint32_t min_value,
        std::uint32_t max_value) const;

    /** Returns a number from min_value to max_value. */
    double
    number(std::string_view field, double min_value, double max_value) const;

    /** Returns a boolean. */
    bool boolean(std::string_view field) const;

    /** Returns a name: a lower-case letter, then up to 63 lower-case letters,
        digits or underscores. */
    std::string name(std::string_view field) const;

    /** Returns an IPv4 or IPv6 address in the form that inet_ntop writes, so
        that equal addresses have equal texts. */
    std::string address(std::string_view field) const;

    /** Fills the span from a text of exactly two hexadecimal digits per
        byte. */
    void hex(std::string_view field, std::span<std::uint8_t> bytes) const;

    /** Returns an array of min_size to max_size elements; an empty array after
        an error. */
    const nlohmann::json& array(
        std::string_view field,
        std::size_t min_size,
        std::size_t max_size) const;

    /** Returns an array of at most max_size names, as name() accepts them;
        empty if the field is missing. */
    std::vector<std::string>
    optional_names(std::string_view field, std::size_t max_size) const;

    /** Returns a value of any type; null after an error. */
    const nlohmann::json& value(std::string_view field) const;

    /** Returns the JSON pointer to a field. */
    std::string path_of(std::string_view field) const;

    /** Records an error at a field. */
    void add_error(std::string_view field, std::string detail) const;

private:
    /** Returns the value of a field; null if there is none or after an
        error. */
    const nlohmann::json* find_field(std::string_view field) const;

    /** Returns the value as a name. If it is not a name, records an error at
        the path and returns an unspecified text. */
    std::string
    read_name(const std::string& path, const nlohmann::json& value) const;

    const nlohmann::json& object_;
    std::string path_;
    error_recorder& errors_;
};

} // namespace turmericlane
