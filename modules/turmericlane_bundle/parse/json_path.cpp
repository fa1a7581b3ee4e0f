#include "json_path.h"

namespace turmericlane
{

std::string member_path(std::string_view parent, std::string_view key)
{
    std::string path(parent);
    path += '/';
    for (auto it : key)
    {
        if (it == '~')
            path += "~0";
        else if (it == '/')
            path += "~1";
        else
            path += it;
    }
    return path;
}

std::string element_path(std::string_view parent, std::size_t index)
{
    return std::string(parent) + '/' + std::to_string(index);
}

} // namespace turmericlane
