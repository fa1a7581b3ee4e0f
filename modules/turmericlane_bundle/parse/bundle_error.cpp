#include "bundle_error.h"

namespace turmericlane
{

std::string bundle_error::to_string() const
{
    if (path.empty())
        return file + ": " + detail;
    return file + ": " + path + ": " + detail;
}

} // namespace turmericlane
