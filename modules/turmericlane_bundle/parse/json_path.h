#pragma once

#include <string>
#include <string_view>

namespace turmericlane
{

/** JSON pointer (RFC 6901) to a member of the object at `parent`. */
std::string member_path(std::string_view parent, std::string_view key);

/** JSON pointer to an element of the array at `parent`. */
std::string element_path(std::string_view parent, std::size_t index);

} // namespace turmericlane
