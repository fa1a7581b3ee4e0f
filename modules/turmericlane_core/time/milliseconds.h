#pragma once

#include "clock.h"

#include <chrono>
#include <cstdint>

namespace turmericlane
{

/** Whole milliseconds of a span, for logs and messages. */
inline std::int64_t to_milliseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace turmericlane
