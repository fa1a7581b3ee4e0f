#pragma once

#include "client_pool.h"

namespace turmericlane::load
{

/** Instance list of one caller: the answer to GET /v1/instances, which is
    cached for its lifetime.

    Instances are used in turn; one that failed is avoided for a second.
    Thread-safe.
*/
class instance_cache
{
public:
    /** @param pool               must outlive this object
        @param initial_instances  instances to request the list from; must not
                                  be empty */
    instance_cache(client_pool& pool, std::vector<endpoint> initial_instances);

    /** Returns the instance for the next request. */
    endpoint next_instance();

    /** Returns an instance other than `excluded` if there is one. */
    endpoint next_other_instance(const endpoint& excluded);

    /** Reports that an instance could not be reached or did not reply. */
    void report_failure(const endpoint& failed_instance);

private:
    using clock = std::chrono::steady_clock;

    endpoint next_available(clock::time_point now);
    void refresh_list(clock::time_point now);
    bool fetch_list(const endpoint& source, clock::time_point now);
    bool is_avoided(const endpoint& instance, clock::time_point now) const;

    client_pool& pool_;
    std::vector<endpoint> initial_instances_;
    std::mutex mutex_;
    std::vector<endpoint> current_instances_;
    std::size_t next_index_ = 0;
    clock::time_point expiry_time_{};
    std::map<endpoint, clock::time_point> avoid_end_times_;
};

} // namespace turmericlane::load
