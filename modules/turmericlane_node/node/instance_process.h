#pragma once

#include "../settings/instance_settings.h"

#include <turmericlane_core/turmericlane_core.h>

#include <memory>

namespace turmericlane
{

/** One instance: a kernel with all services of the daemon.

    @code
    instance_process instance(settings);
    if (auto error = instance.start())
        return fail(*error);
    instance.terminate(); // from the thread that receives SIGTERM
    auto unanswered_count = instance.wait();
    instance.stop();
    @endcode

    @see kernel, shutdown_service
*/
class instance_process
{
public:
    /** Generates the start-up nonce and registers the services. */
    explicit instance_process(instance_settings settings);
    ~instance_process();
    instance_process(const instance_process&) = delete;
    instance_process& operator=(const instance_process&) = delete;

    /** Starts all services.
        @returns nothing on success, otherwise the reason */
    std::optional<std::string> start();

    /** Starts a graceful shutdown; a second call ends it at once. Any thread
        may call. */
    void terminate();

    /** Waits for the end of the shutdown.
        @returns the number of requests in flight that got no answer */
    std::size_t wait();

    /** Stops all services. */
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace turmericlane
