#pragma once

#include "service.h"

#include <memory>
#include <vector>

namespace turmericlane
{

/** Starts, stops and looks up services by name. It knows no service.

    Services start in the order in which they were added and stop in the
    reverse order. One thread adds, starts and stops; once started, any thread
    may look up services.

    @see service
*/
class kernel
{
public:
    /** Adds a service. No service of that name may be there yet, and the
        kernel may not be running. */
    void add(std::shared_ptr<service> added);

    /** Starts every service. If one fails, those started before it are stopped.
        @returns nothing on success, otherwise "name: reason" */
    std::optional<std::string> start();

    /** Stops every running service in reverse order. */
    void stop();

    /** Returns the service of that name, or null. */
    std::shared_ptr<service> find(std::string_view name) const;

    /** Returns the service of that name if it has the given type, or null. */
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
