#include "search_reply_parser.h"

namespace turmericlane
{

namespace
{

/** Limit for the nesting of a reply. Its known fields are nested no deeper than
    those of a hit. */
constexpr int max_depth = 16;

} // namespace

search_reply_parser::search_reply_parser(backend_reply& reply)
    : reply_(reply)
{
}

bool search_reply_parser::parse(std::string_view body)
{
    return nlohmann::json::sax_parse(body, this) && depth_ == 0;
}

bool search_reply_parser::has_hits() const noexcept
{
    return has_hits_;
}

bool search_reply_parser::is_in_hit() const noexcept
{
    return is_in_hits_ && depth_ == hit_depth;
}

std::uint64_t* search_reply_parser::find_number_field()
{
    if (depth_ != reply_depth)
        return nullptr;
    if (field_name_ == "snapshot")
        return &reply_.snapshot;
    if (field_name_ == "epoch")
        return &reply_.epoch;
    if (field_name_ == "oldest")
        return &reply_.served_snapshots.oldest;
    if (field_name_ == "newest")
        return &reply_.served_snapshots.newest;
    return nullptr;
}

bool search_reply_parser::set_score(double value)
{
    if (!is_in_hit() || field_name_ != "score")
        return !(is_in_hit() && field_name_ == "id");
    reply_.hits.back().score = value;
    has_score_ = true;
    return true;
}

bool search_reply_parser::null()
{
    const auto is_hit_field =
        is_in_hit() && (field_name_ == "id" || field_name_ == "score");
    return depth_ > 0 && find_number_field() == nullptr && !is_hit_field;
}

bool search_reply_parser::boolean(bool)
{
    return null();
}

bool search_reply_parser::number_integer(number_integer_t value)
{
    // Known numbers of the reply are never negative.
    return depth_ > 0 && find_number_field() == nullptr &&
           set_score(static_cast<double>(value));
}

bool search_reply_parser::number_unsigned(number_unsigned_t value)
{
    if (depth_ == 0)
        return false;
    if (auto* field = find_number_field())
    {
        *field = value;
        return true;
    }
    return set_score(static_cast<double>(value));
}

bool search_reply_parser::number_float(number_float_t value, const string_t&)
{
    return depth_ > 0 && find_number_field() == nullptr && set_score(value);
}

bool search_reply_parser::string(string_t& value)
{
    if (depth_ == 0 || find_number_field() != nullptr)
        return false;
    if (!is_in_hit() || field_name_ != "id")
        return !(is_in_hit() && field_name_ == "score");
    reply_.hits.back().document = std::move(value);
    has_id_ = true;
    return true;
}

bool search_reply_parser::binary(binary_t&)
{
    return false;
}

bool search_reply_parser::start_object(std::size_t)
{
    if (is_in_hits_ && depth_ == hits_depth)
    {
        reply_.hits.emplace_back();
        has_id_ = false;
        has_score_ = false;
    }
    return ++depth_ <= max_depth;
}

bool search_reply_parser::end_object()
{
    const auto is_complete = !is_in_hit() || (has_id_ && has_score_);
    --depth_;
    return is_complete;
}

bool search_reply_parser::start_array(std::size_t)
{
    // The reply itself is an object.
    if (depth_ == 0)
        return false;
    if (depth_ == reply_depth && field_name_ == "hits")
    {
        is_in_hits_ = true;
        has_hits_ = true;
    }
    return ++depth_ <= max_depth;
}

bool search_reply_parser::end_array()
{
    --depth_;
    if (depth_ == reply_depth)
        is_in_hits_ = false;
    return true;
}

bool search_reply_parser::key(string_t& value)
{
    field_name_ = value;
    return true;
}

bool search_reply_parser::parse_error(
    std::size_t, const std::string&, const nlohmann::detail::exception&)
{
    return false;
}

} // namespace turmericlane
