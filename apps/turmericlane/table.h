#pragma once

#include <nlohmann/json_fwd.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace turmericlane
{

/** Text in aligned columns, for people.

    A column of numbers is aligned to the right, any other to the left.
*/
class table
{
public:
    /** A table with a line of headings. */
    explicit table(std::vector<std::string> headings);

    /** Adds a line; it needs as many cells as there are headings. */
    void add(std::vector<std::string> cells);

    /** Writes the table. */
    void write(std::ostream& to) const;

private:
    std::vector<std::vector<std::string>> lines_;
};

/** Text of a JSON value in a cell: a string without its quotes, `-` for null.
    Control characters are replaced, so that a reply can't steer the
    terminal. */
std::string cell_text(const nlohmann::json& value);

/** Makes a table with a column for each field of the objects in an array.
    Elements that are no objects are left out. */
table make_table(const nlohmann::json& objects);

} // namespace turmericlane
