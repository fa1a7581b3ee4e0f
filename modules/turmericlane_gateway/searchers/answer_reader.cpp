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

/** A signature is listed among others, separated by commas. */
bool is_listable(std::string_view signature)
{
    return !signature.empty() &&
           signature.find_first_of(", \t") == std::string_view::npos;
}

std::vector<std::pair<std::string, std::string>>
passed_on(const boost::beast::http::fields& fields)
{
    std::vector<std::pair<std::string, std::string>> made;
    for (const auto& it : fields)
    {
        const auto name = it.name_string();
        if (is_connection_field({name.data(), name.size()}))
            continue;
        const auto value = it.value();
        made.emplace_back(
            std::string(name.data(), name.size()),
            std::string(value.data(), value.size()));
    }
    return made;
}

} // namespace

std::optional<searcher_load> parse_load(std::string_view text)
{
    std::uint32_t values[3] = {};
    const auto* at = text.data();
    const auto* const end = at + text.size();
    for (std::size_t i = 0; i < 3; ++i)
    {
        const auto [next, ec] = std::from_chars(at, end, values[i]);
        const auto last = i == 2;
        if (ec != std::errc() || (next == end) != last)
            return std::nullopt;
        if (!last && *next != ',')
            return std::nullopt;
        at = next + 1;
    }
    return searcher_load{values[0], values[1], values[2]};
}

bool belongs_to(
    const server_response& response,
    const protocol_names& names,
    std::string_view request_id)
{
    const auto echoed = field(response.fields, names.request_id);
    return echoed.empty() || echoed == request_id;
}

attempt_result
read_answer(server_response&& response, const protocol_names& names, bool part)
{
    attempt_result made;
    made.load = parse_load(field(response.fields, names.load));
    if (!field(response.fields, names.not_run).empty())
    {
        made.outcome = response.status == misdirected_status
                           ? attempt_outcome::misdirected
                           : attempt_outcome::rejected;
        return made;
    }
    if (response.status == misdirected_status)
    {
        made.outcome = attempt_outcome::misdirected;
        return made;
    }
    const auto signature = field(response.fields, names.signature);
    const auto encoded = !field(response.fields, "content-encoding").empty();
    const auto success = is_success(response.status);
    if (encoded || (success && signature.empty()) ||
        (part && success && !is_listable(signature)))
        return made;
    made.outcome =
        success ? attempt_outcome::answered : attempt_outcome::server_error;
    if (!success && response.status < 500)
    {
        // A searcher's own refusal of the request's content is an answer.
        made.outcome =
            part ? attempt_outcome::server_error : attempt_outcome::answered;
    }
    made.answer.status = response.status;
    made.answer.signature = signature;
    if (!part)
        made.answer.headers = passed_on(response.fields);
    made.answer.body = std::move(response.body);
    return made;
}

} // namespace turmericlane
