#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace turmericlane
{

class kernel;

/** A part of the daemon that the kernel starts and stops.

    @see kernel
*/
class service
{
public:
    virtual ~service() = default;

    /** Name under which other services find this one. */
    virtual std::string_view name() const noexcept = 0;

    /** Starts the service. Services registered earlier are running.
        @param owner  kernel to look up other services in
        @returns nothing on success, otherwise the reason */
    virtual std::optional<std::string> start(kernel& owner) = 0;

    /** Stops the service and joins its threads. Called once for each
        successful start. */
    virtual void stop() = 0;
};

} // namespace turmericlane
