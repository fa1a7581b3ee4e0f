#pragma once

#include "clock.h"

namespace turmericlane
{

/** The monotonic clock of the operating system. It keeps running while the
    process is stopped, so that a pause of the process shows as a jump.

    @see clock
*/
class monotonic_clock final : public clock
{
public:
    time_point now() const noexcept override
    {
        return std::chrono::steady_clock::now();
    }
};

} // namespace turmericlane
