#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace turmericlane
{

class kernel;

/** A component of a program that the kernel starts and stops.

    @see kernel
*/
class service
{
public:
    virtual ~service() = default;

    /** Returns the name under which other services find this one. */
    virtual std::string_view name() const noexcept = 0;

    /** Starts the service. The services that were added earlier are running.
        @param services  kernel that looks up other services
        @returns nothing on success, otherwise the error */
    virtual std::optional<std::string> start(kernel& services) = 0;

    /** Stops the service and joins its threads. The kernel calls it once after
        each successful start. */
    virtual void stop() = 0;
};

} // namespace turmericlane
