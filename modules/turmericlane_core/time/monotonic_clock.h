#pragma once

#include "clock.h"

namespace turmericlane
{

/** The system's monotonic clock. It goes on while the process is stopped, so
    that a pause shows as a jump.

    @see clock
*/
class monotonic_clock final : public clock
{
public:
    /** Returns std::chrono::steady_clock::now(). */
    time_point now() const noexcept override
    {
        return std::chrono::steady_clock::now();
    }
};

} // namespace turmericlane
