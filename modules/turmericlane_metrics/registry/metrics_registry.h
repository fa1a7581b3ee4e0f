#pragma once

#include "../histogram/latency_histogram.h"
#include "counter.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace turmericlane
{

/** Label names and values, which identify one series of a metric. */
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/** All metrics of one process, by name and labels.

    A module looks up its metrics once and keeps the references, which stay
    valid as long as the registry exists. Looking up the same name and labels
    again returns the same object; the kind must be the same. All methods may
    be called from any thread. They take a lock, but updates of a metric don't.

    @see counter, gauge, latency_histogram
*/
class metrics_registry
{
public:
    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;

    /** Returns the counter and creates it if it does not exist.
        @param name  must end in "_total"
        @param help  one line that says what is counted */
    counter& counter_of(
        std::string_view name,
        std::string_view help,
        const metric_labels& labels = {});

    /** Returns the gauge and creates it if it does not exist. */
    gauge& gauge_of(
        std::string_view name,
        std::string_view help,
        const metric_labels& labels = {});

    /** Returns the histogram and creates it if it does not exist.
        @param name  must end in "_microseconds" */
    latency_histogram& histogram_of(
        std::string_view name,
        std::string_view help,
        const metric_labels& labels = {});

    /** Returns every metric in the Prometheus text format, version 0.0.4. */
    std::string text() const;

private:
    struct family;
    family& family_of(std::string_view name, std::string_view help, int kind);

    mutable std::mutex mutex_;
    std::map<std::string, std::unique_ptr<family>, std::less<>> families_;
};

} // namespace turmericlane
