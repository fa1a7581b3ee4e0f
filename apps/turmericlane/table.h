#pragma once

#include <nlohmann/json_fwd.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace turmericlane
{

/** Text in aligned columns, to be read by people.

    A column that holds only numbers is aligned to the right, any other to the
    left.
*/
class table
{
public:
    /** Makes a table with a line of headings. */
    explicit table(std::vector<std::string> headings);

    /** Adds a line, which must have as many cells as there are headings. */
    void add(std::vector<std::string> cells);

    void write(std::ostream& output) const;

private:
    std::vector<std::vector<std::string>> lines_;
};

/** Returns a JSON value as the text of a cell: a string without its quotes, `-`
    for null. Control characters are replaced, so that a reply can't send
    escape sequences to the terminal. */
std::string cell_text(const nlohmann::json& value);

/** Makes a table with a column for each field of the objects in an array.
    Elements that are not objects are left out. */
table make_table(const nlohmann::json& objects);

} // namespace turmericlane
