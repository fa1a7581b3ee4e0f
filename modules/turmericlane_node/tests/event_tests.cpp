#include "../log/event.h"

#include <doctest/doctest.h>

#include <fstream>
#include <set>
#include <sstream>

using namespace turmericlane;

namespace
{

std::string severity_name(event_severity value)
{
    if (value == event_severity::info)
        return "info";
    return value == event_severity::warning ? "warning" : "error";
}

std::string row_text(
    std::string_view number, std::string_view name, std::string_view severity)
{
    std::string row(number);
    row.append(" ").append(name).append(" ").append(severity);
    return row;
}

/** Returns "number name severity" of each row of docs/events.md. */
std::set<std::string> catalogue_rows()
{
    std::ifstream file(TURMERICLANE_SOURCE_DIR "/docs/events.md");
    REQUIRE(file);
    std::set<std::string> rows;
    std::string line;
    while (std::getline(file, line))
    {
        std::istringstream cells(line);
        std::string bar;
        std::string number;
        std::string name;
        std::string severity;
        cells >> bar >> number >> bar >> name >> bar >> severity;
        if (number.size() == 4 && number[0] >= '0' && number[0] <= '9')
            rows.insert(row_text(number, name, severity));
    }
    return rows;
}

} // namespace

TEST_CASE("the events are those that docs/events.md lists")
{
    std::set<std::string> code_rows;
    for (const auto& it : all_events())
        code_rows.insert(row_text(
            std::to_string(static_cast<unsigned>(it.number)), it.name,
            severity_name(it.severity)));
    CHECK(code_rows.size() == all_events().size());
    CHECK(code_rows == catalogue_rows());
}

TEST_CASE("a value can't inject a second field or line into the log")
{
    const auto line = format_event(
        event::start_failed, {{"detail", "a b=c\nTL1006 stopped"}});
    CHECK(line == "TL1002 start_failed detail=\"a b=c\\nTL1006 stopped\"");
}
