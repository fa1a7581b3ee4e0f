#pragma once

#include "../settings/instance_settings.h"

#include <turmericlane_core/turmericlane_core.h>

#include <memory>

namespace turmericlane
{

/** One instance: the kernel with all services of the daemon.

    @code
    node instance(settings);
    if (auto why = instance.start())
        return fail(*why);
    instance.terminate(); // from the thread that receives SIGTERM
    auto cut = instance.wait();
    instance.stop();
    @endcode

    @see kernel, shutdown_service
*/
class instance_process
{
public:
    /** Draws the start-up nonce and registers the services. */
    explicit instance_process(instance_settings settings);
    ~instance_process();
    instance_process(const instance_process&) = delete;
    instance_process& operator=(const instance_process&) = delete;

    /** Starts all services.
        @returns nothing on success, otherwise the reason */
    std::optional<std::string> start();

    /** Begins a graceful shutdown; the second call ends it at once. Any thread
        may call. */
    void terminate();

    /** Waits for the end of the shutdown.
        @returns the number of requests that were cut off */
    std::size_t wait();

    /** Stops all services. */
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace turmericlane
