#pragma once

#include "bundle_error.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace turmericlane
{

/** Builds a JSON document from the library's parse events and stops at the
    first duplicate key, at too deep nesting or at a syntax error.

    The library's own builder keeps the last of several equal keys without a
    word, so that a reader could see another value than the one that a person
    saw.

    @see parse_document
*/
class document_builder final : public nlohmann::json_sax<nlohmann::json>
{
public:
    /** What stopped the parser; its file is empty. */
    const std::optional<bundle_error>& error() const noexcept;

    /** The document. There must be no error. */
    nlohmann::json take();

    bool null() override;
    bool boolean(bool value) override;
    bool number_integer(number_integer_t value) override;
    bool number_unsigned(number_unsigned_t value) override;
    bool number_float(number_float_t value, const string_t& text) override;
    bool string(string_t& value) override;
    bool binary(binary_t& value) override;
    bool start_object(std::size_t elements) override;
    bool key(string_t& value) override;
    bool end_object() override;
    bool start_array(std::size_t elements) override;
    bool end_array() override;
    bool parse_error(
        std::size_t position,
        const std::string& last_token,
        const nlohmann::json::exception& why) override;

private:
    /** An object or array that is not closed yet. */
    struct open_value
    {
        nlohmann::json* container = nullptr;
        /** Last key of an object. */
        std::string key;
    };

    nlohmann::json* place(nlohmann::json value);
    bool open(nlohmann::json container);
    bool close();
    bool fail(std::string detail);
    std::string path() const;

    nlohmann::json document_;
    std::vector<open_value> open_;
    std::optional<bundle_error> error_;
};

} // namespace turmericlane
