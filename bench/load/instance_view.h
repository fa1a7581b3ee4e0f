#pragma once

#include "client_pool.h"

namespace turmericlane::load
{

/** What one caller knows of the instances: the answer of GET /v1/instances,
    kept for its lifetime and then asked for again.

    Instances are used in turn; one that failed is left out for a second. Any
    thread may call.
*/
class instance_view
{
public:
    /** Starts from instances that may be asked. The pool outlives the view. */
    instance_view(client_pool& pool, std::vector<endpoint> first);

    /** Returns the instance to use for the next request. */
    endpoint pick();

    /** Returns an instance other than the given one if there is one. */
    endpoint pick_other(const endpoint& than);

    /** States that an instance could not be reached or broke off. */
    void report_failure(const endpoint& failed);

private:
    using clock = std::chrono::steady_clock;

    endpoint next(clock::time_point now);
    void refresh(clock::time_point now);
    bool ask(const endpoint& asked, clock::time_point now);
    bool avoided(const endpoint& it, clock::time_point now) const;

    client_pool& pool_;
    std::vector<endpoint> first_;
    std::mutex mutex_;
    std::vector<endpoint> known_;
    std::size_t turn_ = 0;
    clock::time_point expires_{};
    std::map<endpoint, clock::time_point> avoided_until_;
};

} // namespace turmericlane::load
