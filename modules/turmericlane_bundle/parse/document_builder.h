#pragma once

#include "bundle_error.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace turmericlane
{

/** Builds a JSON document from the library's parse events and stops at the
    first duplicate key, nesting that is too deep or a syntax error.

    The library's own builder silently keeps the last of several equal keys, so
    that the program could read another value than the person who reviewed the
    text.

    @see parse_document
*/
class document_builder final : public nlohmann::json_sax<nlohmann::json>
{
public:
    /** Returns the error that stopped the parser, if any; its file is empty. */
    const std::optional<bundle_error>& error() const noexcept;

    /** Returns the document, by a move. There must be no error. */
    nlohmann::json take_document();

    bool null() override;
    bool boolean(bool value) override;
    bool number_integer(number_integer_t value) override;
    bool number_unsigned(number_unsigned_t value) override;
    bool number_float(number_float_t value, const string_t& text) override;
    bool string(string_t& value) override;
    bool binary(binary_t& value) override;
    bool start_object(std::size_t element_count) override;
    bool key(string_t& value) override;
    bool end_object() override;
    bool start_array(std::size_t element_count) override;
    bool end_array() override;
    bool parse_error(
        std::size_t position,
        const std::string& last_token,
        const nlohmann::json::exception& exception) override;

private:
    /** An object or array whose end has not been parsed. */
    struct open_value
    {
        nlohmann::json* container = nullptr;
        /** Last key that was parsed, if the container is an object. */
        std::string key;
    };

    nlohmann::json* add_value(nlohmann::json value);
    bool begin_container(nlohmann::json container);
    bool end_container();
    bool fail(std::string detail);
    std::string current_path() const;

    nlohmann::json document_;
    std::vector<open_value> open_values_;
    std::optional<bundle_error> error_;
};

} // namespace turmericlane
