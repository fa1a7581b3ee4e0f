#include "answer_reader.h"

#include <charconv>

namespace turmericlane
{

namespace
{

constexpr unsigned misdirected_status = 421;
constexpr unsigned unavailable_status = 503;
constexpr std::chrono::duration<double> max_quiet_time =
    std::chrono::minutes(1);
constexpr std::chrono::duration<double> max_warm_up_time =
    std::chrono::hours(1);

/** Reads a time of a header field.
    @param units_per_second  of the field's number
    @param max_time          largest result; more is odd
    @param is_odd            set to true if the value cannot be used as it is */
duration read_time(
    std::string_view text,
    double units_per_second,
    std::chrono::duration<double> max_time,
    bool& is_odd)
{
    double units = 0.0;
    const auto* const end = text.data() + text.size();
    const auto [position, ec] = std::from_chars(text.data(), end, units);
    auto seconds = units / units_per_second;
    is_odd = ec != std::errc() || position != end || !(seconds >= 0.0) ||
             seconds > max_time.count();
    if (ec == std::errc::result_out_of_range && text.front() != '-')
        seconds = max_time.count();
    if (position != end || !(seconds > 0.0))
        return {};
    return std::chrono::duration_cast<duration>(
        std::min(std::chrono::duration<double>(seconds), max_time));
}

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
    constexpr std::size_t required_count = 3;
    constexpr double usual_work_time = 100.0;
    std::uint32_t values[] = {0, 0, 0, 100};
    std::size_t count = 0;
    const auto* position = text.data();
    const auto* const end = position + text.size();
    while (count < std::size(values))
    {
        const auto [next, ec] = std::from_chars(position, end, values[count]);
        if (ec != std::errc() || (next != end && *next != ','))
            return std::nullopt;
        ++count;
        if (next == end)
            break;
        position = next + 1;
    }
    if (count < required_count)
        return std::nullopt;
    return searcher_load{
        values[0], values[1], values[2], values[3] / usual_work_time};
}

searcher_statement read_statement(
    unsigned status,
    const boost::beast::http::fields& fields,
    const protocol_names& names)
{
    searcher_statement statement;
    // This answer comes from another searcher, which has taken the address.
    if (status == misdirected_status)
        return statement;
    const auto leaving = field(fields, names.leaving);
    statement.is_leaving = leaving == "1";
    if (!leaving.empty() && leaving != "1" && leaving != "0")
        statement.odd_field = names.leaving;
    auto is_odd = false;
    const auto warm_up = field(fields, names.warm_up);
    if (!warm_up.empty())
    {
        constexpr double milliseconds_per_second = 1000.0;
        statement.warm_up_time = read_time(
            warm_up, milliseconds_per_second, max_warm_up_time, is_odd);
        if (is_odd)
            statement.odd_field = names.warm_up;
    }
    const auto retry_after = field(fields, names.retry_after);
    if (status != unavailable_status || retry_after.empty())
        return statement;
    statement.quiet_time = read_time(retry_after, 1.0, max_quiet_time, is_odd);
    if (is_odd)
        statement.odd_field = names.retry_after;
    return statement;
}

answer_owner find_owner(
    const server_response& response,
    const protocol_names& names,
    std::string_view request_id)
{
    const auto echoed_id = field(response.fields, names.request_id);
    if (echoed_id.empty())
        return answer_owner::unknown;
    return echoed_id == request_id ? answer_owner::request
                                   : answer_owner::another_request;
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
