#include "table.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>

namespace turmericlane
{

namespace
{

bool is_number(const std::string& cell)
{
    return !cell.empty() &&
           cell.find_first_not_of("-+.0123456789e") == std::string::npos;
}

/** Returns the number of characters in a UTF-8 text. */
std::size_t width_of(const std::string& cell)
{
    auto is_first_byte = [](unsigned char c) { return (c & 0xc0U) != 0x80U; };
    return static_cast<std::size_t>(
        std::count_if(cell.begin(), cell.end(), is_first_byte));
}

/** Width and alignment of one column. */
struct column
{
    std::size_t width = 0;
    bool is_right_aligned = true;
};

void write_line(
    std::ostream& output,
    const std::vector<std::string>& cells,
    const std::vector<column>& columns)
{
    std::string line;
    for (std::size_t n = 0; n < cells.size(); ++n)
    {
        std::string padding(columns[n].width - width_of(cells[n]), ' ');
        line += n == 0 ? "" : "  ";
        line += columns[n].is_right_aligned ? padding + cells[n]
                                            : cells[n] + padding;
    }
    line.erase(line.find_last_not_of(' ') + 1);
    output << line << '\n';
}

} // namespace

table::table(std::vector<std::string> headings)
{
    lines_.push_back(std::move(headings));
}

void table::add(std::vector<std::string> cells)
{
    assert(cells.size() == lines_.front().size());
    lines_.push_back(std::move(cells));
}

void table::write(std::ostream& output) const
{
    std::vector<column> columns(lines_.front().size());
    for (std::size_t line = 0; line < lines_.size(); ++line)
        for (std::size_t n = 0; n < columns.size(); ++n)
        {
            const auto& cell = lines_[line][n];
            columns[n].width = std::max(columns[n].width, width_of(cell));
            columns[n].is_right_aligned &= line == 0 || is_number(cell);
        }
    for (const auto& it : lines_)
        write_line(output, it, columns);
}

std::string cell_text(const nlohmann::json& value)
{
    if (value.is_null())
        return "-";
    auto text = value.is_string() ? value.get<std::string>() : value.dump();
    std::replace_if(
        text.begin(), text.end(),
        [](unsigned char c) { return c < ' ' || c == 127; }, '?');
    return text;
}

table make_table(const nlohmann::json& objects)
{
    std::vector<std::string> fields;
    for (const auto& object : objects)
        if (object.is_object())
            for (const auto& it : object.items())
                if (std::find(fields.begin(), fields.end(), it.key()) ==
                    fields.end())
                    fields.push_back(it.key());
    table result(fields);
    for (const auto& object : objects)
    {
        if (!object.is_object())
            continue;
        std::vector<std::string> cells;
        cells.reserve(fields.size());
        for (const auto& it : fields)
            cells.push_back(cell_text(object.value(it, nlohmann::json())));
        result.add(std::move(cells));
    }
    return result;
}

} // namespace turmericlane
