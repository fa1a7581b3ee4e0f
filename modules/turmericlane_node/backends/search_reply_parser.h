#pragma once

#include <turmericlane_decisions/turmericlane_decisions.h>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace turmericlane
{

/** Parses the JSON reply of a backend server directly into a backend_reply.

    It builds no JSON document, since there is a reply for each attempt and the
    allocations of a document take a large part of its processor time. Unknown
    fields are ignored, since the backend server defines the format.

    @see decode_search
*/
class search_reply_parser final : public nlohmann::json_sax<nlohmann::json>
{
public:
    /** @param reply  filled by parse; must outlive the parser */
    explicit search_reply_parser(backend_reply& reply);

    /** Parses a body.
        @returns false if it is not a JSON object, or a known field has a wrong
                 type */
    bool parse(std::string_view body);

    /** True if the body had a list of hits, each with id and score. */
    bool has_hits() const noexcept;

    bool null() override;
    bool boolean(bool value) override;
    bool number_integer(number_integer_t value) override;
    bool number_unsigned(number_unsigned_t value) override;
    bool number_float(number_float_t value, const string_t& text) override;
    bool string(string_t& value) override;
    bool binary(binary_t& value) override;
    bool start_object(std::size_t elements) override;
    bool end_object() override;
    bool start_array(std::size_t elements) override;
    bool end_array() override;
    bool key(string_t& value) override;
    bool parse_error(
        std::size_t position,
        const std::string& token,
        const nlohmann::detail::exception& error) override;

private:
    /** Depth of the fields of the reply, of the list of hits, and of the fields
        of a hit. */
    static constexpr int reply_depth = 1;
    static constexpr int hits_depth = 2;
    static constexpr int hit_depth = 3;

    bool is_in_hit() const noexcept;
    bool set_score(double value);
    std::uint64_t* find_number_field();

    backend_reply& reply_;
    std::string field_name_;
    int depth_ = 0;
    bool is_in_hits_ = false;
    bool has_hits_ = false;
    bool has_id_ = false;
    bool has_score_ = false;
};

} // namespace turmericlane
