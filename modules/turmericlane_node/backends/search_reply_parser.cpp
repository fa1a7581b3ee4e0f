#include "search_reply_parser.h"

namespace turmericlane
{

namespace
{

/** A reply nests no deeper than its hits; more is not worth reading. */
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
    return hits_seen_;
}

bool search_reply_parser::in_hit() const noexcept
{
    return in_hits_ && depth_ == hit_depth;
}

std::uint64_t* search_reply_parser::number_field()
{
    if (depth_ != reply_depth)
        return nullptr;
    if (field_ == "snapshot")
        return &reply_.snapshot;
    if (field_ == "epoch")
        return &reply_.epoch;
    if (field_ == "oldest")
        return &reply_.served_snapshots.oldest;
    if (field_ == "newest")
        return &reply_.served_snapshots.newest;
    return nullptr;
}

bool search_reply_parser::score(double value)
{
    if (!in_hit() || field_ != "score")
        return !(in_hit() && field_ == "id");
    reply_.hits.back().score = value;
    score_seen_ = true;
    return true;
}

bool search_reply_parser::null()
{
    const auto hit_field = in_hit() && (field_ == "id" || field_ == "score");
    return depth_ > 0 && number_field() == nullptr && !hit_field;
}

bool search_reply_parser::boolean(bool)
{
    return null();
}

bool search_reply_parser::number_integer(number_integer_t value)
{
    // Known numbers of the reply are never negative.
    return depth_ > 0 && number_field() == nullptr &&
           score(static_cast<double>(value));
}

bool search_reply_parser::number_unsigned(number_unsigned_t value)
{
    if (depth_ == 0)
        return false;
    if (auto* field = number_field())
    {
        *field = value;
        return true;
    }
    return score(static_cast<double>(value));
}

bool search_reply_parser::number_float(number_float_t value, const string_t&)
{
    return depth_ > 0 && number_field() == nullptr && score(value);
}

bool search_reply_parser::string(string_t& value)
{
    if (depth_ == 0 || number_field() != nullptr)
        return false;
    if (!in_hit() || field_ != "id")
        return !(in_hit() && field_ == "score");
    reply_.hits.back().document = std::move(value);
    id_seen_ = true;
    return true;
}

bool search_reply_parser::binary(binary_t&)
{
    return false;
}

bool search_reply_parser::start_object(std::size_t)
{
    if (in_hits_ && depth_ == hits_depth)
    {
        reply_.hits.emplace_back();
        id_seen_ = false;
        score_seen_ = false;
    }
    return ++depth_ <= max_depth;
}

bool search_reply_parser::end_object()
{
    const auto complete = !in_hit() || (id_seen_ && score_seen_);
    --depth_;
    return complete;
}

bool search_reply_parser::start_array(std::size_t)
{
    // The reply itself is an object.
    if (depth_ == 0)
        return false;
    if (depth_ == reply_depth && field_ == "hits")
    {
        in_hits_ = true;
        hits_seen_ = true;
    }
    return ++depth_ <= max_depth;
}

bool search_reply_parser::end_array()
{
    --depth_;
    if (depth_ == reply_depth)
        in_hits_ = false;
    return true;
}

bool search_reply_parser::key(string_t& value)
{
    field_ = value;
    return true;
}

bool search_reply_parser::parse_error(
    std::size_t, const std::string&, const nlohmann::detail::exception&)
{
    return false;
}

} // namespace turmericlane
