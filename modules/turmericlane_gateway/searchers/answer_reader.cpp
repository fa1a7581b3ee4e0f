#include "answer_reader.h"

#include <charconv>

namespace turmericlane
{

namespace
{

constexpr unsigned misdirected_status = 421;

bool is_success(unsigned status)
{
    return status >= 200 && status < 300;
}

/** True if the signature can stand in a comma-separated list. */
bool is_listable(std::string_view signature)
{
    return !signature.empty() &&
           signature.find_first_of(", \t") == std::string_view::npos;
}

std::vector<std::pair<std::string, std::string>>
forwarded_fields(const boost::beast::http::fields& fields)
{
    std::vector<std::pair<std::string, std::string>> result;
    for (const auto& it : fields)
    {
        const auto name = it.name_string();
        if (is_connection_field({name.data(), name.size()}))
            continue;
        const auto value = it.value();
        result.emplace_back(
            std::string(name.data(), name.size()),
            std::string(value.data(), value.size()));
    }
    return result;
}

} // namespace

std::optional<searcher_load> parse_load(std::string_view text)
{
    std::uint32_t values[3] = {};
    const auto* position = text.data();
    const auto* const end = position + text.size();
    for (std::size_t i = 0; i < 3; ++i)
    {
        const auto [next, ec] = std::from_chars(position, end, values[i]);
        const auto is_last = i == 2;
        if (ec != std::errc() || (next == end) != is_last)
            return std::nullopt;
        if (!is_last && *next != ',')
            return std::nullopt;
        position = next + 1;
    }
    return searcher_load{values[0], values[1], values[2]};
}

bool is_answer_to(
    const server_response& response,
    const protocol_names& names,
    std::string_view request_id)
{
    const auto echoed_id = field(response.fields, names.request_id);
    return echoed_id.empty() || echoed_id == request_id;
}

attempt_result read_answer(
    server_response&& response, const protocol_names& names, bool is_part)
{
    attempt_result result;
    result.load = parse_load(field(response.fields, names.load));
    if (!field(response.fields, names.not_run).empty())
    {
        result.outcome = response.status == misdirected_status
                             ? attempt_outcome::misdirected
                             : attempt_outcome::rejected;
        return result;
    }
    if (response.status == misdirected_status)
    {
        result.outcome = attempt_outcome::misdirected;
        return result;
    }
    const auto signature = field(response.fields, names.signature);
    const auto is_encoded = !field(response.fields, "content-encoding").empty();
    const auto succeeded = is_success(response.status);
    if (is_encoded || (succeeded && signature.empty()) ||
        (is_part && succeeded && !is_listable(signature)))
        return result;
    result.outcome =
        succeeded ? attempt_outcome::answered : attempt_outcome::server_error;
    if (!succeeded && response.status < 500)
    {
        // A status below 500, such as the refusal of the request's content, is
        // the searcher's answer to a whole request and not a failure.
        result.outcome =
            is_part ? attempt_outcome::server_error : attempt_outcome::answered;
    }
    result.answer.status = response.status;
    result.answer.signature = signature;
    if (!is_part)
        result.answer.headers = forwarded_fields(response.fields);
    result.answer.body = std::move(response.body);
    return result;
}

} // namespace turmericlane
