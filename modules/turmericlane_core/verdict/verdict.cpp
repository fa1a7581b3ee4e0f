#include "verdict.h"

namespace turmericlane
{

std::string_view to_string(outcome value) noexcept
{
    switch (value)
    {
    case outcome::not_run:
        return "not_run";
    case outcome::may_have_run:
        return "may_have_run";
    case outcome::ran:
        return "ran";
    }
    return "unknown";
}

} // namespace turmericlane
