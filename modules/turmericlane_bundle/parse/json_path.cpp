#include "json_path.h"

namespace turmericlane
{

std::string member_path(std::string_view parent_path, std::string_view key)
{
    std::string path(parent_path);
    path += '/';
    for (auto character : key)
    {
        if (character == '~')
            path += "~0";
        else if (character == '/')
            path += "~1";
        else
            path += character;
    }
    return path;
}

std::string element_path(std::string_view parent_path, std::size_t index)
{
    return std::string(parent_path) + '/' + std::to_string(index);
}

} // namespace turmericlane
