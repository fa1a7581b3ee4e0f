#pragma once

#include <string>
#include <string_view>

namespace turmericlane
{

/** Returns the JSON pointer (RFC 6901) to a member of the object at
    `parent_path`. */
std::string member_path(std::string_view parent_path, std::string_view key);

/** Returns the JSON pointer to an element of the array at `parent_path`. */
std::string element_path(std::string_view parent_path, std::size_t index);

} // namespace turmericlane
