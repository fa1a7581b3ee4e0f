#include "environment.h"

#include <cstdlib>

namespace turmericlane
{

std::optional<std::string>
process_environment::find(const std::string& variable) const
{
    const char* value = std::getenv(variable.c_str());
    if (value == nullptr)
        return std::nullopt;
    return std::string(value);
}

} // namespace turmericlane
