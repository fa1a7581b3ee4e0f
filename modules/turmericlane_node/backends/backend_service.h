#pragma once

#include "../versions/version_service.h"
#include "backend_codec.h"

#include <turmericlane_decisions/turmericlane_decisions.h>

#include <unordered_map>

namespace turmericlane
{

/** Observer of the replies of backend servers, called on the engine's loop.

    @see backend_service
*/
class backend_listener
{
public:
    virtual ~backend_listener() = default;

    /** An attempt ended. */
    virtual void on_backend_reply(attempt_id id, backend_reply&& reply) = 0;

    /** A load endpoint answered. */
    virtual void on_load_report(const load_report& report) = 0;
};

/** The service "backends": connections to the backend servers of the groups
    that this instance may own, and reads of their load.

    Methods are called on the engine's loop unless they say otherwise.

    @see backend_pool, group_dispatcher
*/
class backend_service final : public service,
                              public loop_component,
                              public bundle_subscriber
{
public:
    explicit backend_service(const instance_settings& settings);
    ~backend_service() override;

    std::string_view name() const noexcept override
    {
        return "backends";
    }

    std::optional<std::string> start(kernel& owner) override;
    void stop() override;

    /** Sets the listener, which must live until the service has stopped. Called
        from service::start. */
    void set_listener(backend_listener& listener);

    /** Starts an attempt. Its end is reported to the listener exactly once. */
    void start_attempt(attempt_id id, const backend_request& request);

    /** Cancels an attempt. Its end is still reported to the listener. */
    void cancel_attempt(attempt_id id);

    /** Sends any other request to a server. The job's callbacks run on the
        connection's thread.
        @returns false if the server is not known */
    bool submit(searcher_id server, backend_job job);

private:
    struct server
    {
        std::string address;
        std::uint16_t port = 0;
        /** This instance reads the server's load, as the first candidate owner
            of its group. */
        bool is_load_polled = false;
        bool is_load_read_pending = false;
    };

    time_point on_iteration() override;
    void
    on_bundle(const std::shared_ptr<const bundle>& bundle_in_force) override;
    void add_servers(const bundle& bundle_in_force, const owner_map& owners);
    void read_loads();
    void read_load(searcher_id id, server& target);
    void finish(attempt_id id, const exchange_result& exchange);

    const instance_settings& settings_;
    std::shared_ptr<engine> engine_;
    std::unique_ptr<backend_pool> pool_;
    backend_listener* listener_ = nullptr;
    std::unordered_map<searcher_id, server> servers_;
    std::unordered_map<attempt_id, backend_job_id> jobs_;
    time_point next_load_read_ = time_point::max();
};

} // namespace turmericlane
