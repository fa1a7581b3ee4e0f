#include "request_settings.h"

#include "table.h"

#include <iostream>

namespace turmericlane
{

using namespace std::chrono_literals;

request_settings::request_settings(
    settings& flags, std::vector<std::string> ranks)
    : fleet(flags)
    , rank(flags.add<choice_setting>(
          {"rank", "Rank of the request."}, std::move(ranks)))
    , deadline(flags.add<millisecond_setting>(
          {"deadline",
           "Time until the deadline; 0 for the default of the rank."},
          0ms,
          0ms,
          600'000ms))
{
}

std::chrono::milliseconds request_settings::reply_timeout() const
{
    return fleet.timeout.as_duration() + deadline.as_duration();
}

void request_settings::add_to(nlohmann::json& body) const
{
    body["rank"] = rank.value();
    if (deadline.value() > 0)
        body["deadline_ms"] = deadline.value();
}

void print_answer(nlohmann::json body, bool as_json)
{
    if (as_json || !body.is_object())
    {
        std::cout << body.dump() << '\n';
        return;
    }
    if (body.contains("hits"))
        make_table(body["hits"]).write(std::cout);
    body.erase("hits");
    for (const auto& it : body.items())
        std::cout << it.key() << ": " << cell_text(it.value()) << '\n';
}

} // namespace turmericlane
