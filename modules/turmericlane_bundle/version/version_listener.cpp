#include "version_listener.h"

namespace turmericlane
{

std::string_view to_string(version_source value) noexcept
{
    switch (value)
    {
    case version_source::platform:
        return "platform";
    case version_source::peer:
        return "peer";
    }
    return "unknown";
}

} // namespace turmericlane
