#pragma once

#include "clock.h"

#include <chrono>
#include <cstdint>

namespace turmericlane
{

/** Returns a duration in whole milliseconds, rounded towards zero, for logs and
    messages. */
inline std::int64_t to_milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace turmericlane
