#pragma once

#include "service.h"

#include <memory>
#include <vector>

namespace turmericlane
{

/** Starts and stops the services of a program and looks them up by name. It
    depends on no particular service.

    Services start in the order in which they were added and stop in the
    reverse order. A single thread may add, start and stop services; once they
    are started, any thread may look them up.

    @see service
*/
class kernel
{
public:
    /** Adds a service. Its name must be unique, and the kernel must not be
        running. */
    void add(std::shared_ptr<service> new_service);

    /** Starts every service. If one fails, those started before it are stopped.
        @returns nothing on success, otherwise "service name: error" */
    std::optional<std::string> start();

    /** Stops every running service in reverse order. */
    void stop();

    /** Returns the service with that name, or null. */
    std::shared_ptr<service> find(std::string_view name) const;

    /** Returns the service with that name if it is a T, otherwise null. */
    template <class T>
    std::shared_ptr<T> find_as(std::string_view name) const
    {
        return std::dynamic_pointer_cast<T>(find(name));
    }

private:
    std::vector<std::shared_ptr<service>> services_;
    std::size_t started_count_ = 0;
};

} // namespace turmericlane
