#pragma once

#include "../gateway/gateway_metrics.h"
#include "json_log.h"

#include <span>

namespace turmericlane
{

/** Records the shares of requests that are sent to other data centres. The
    metrics have every share; the log has a line if the reason changes, because
    shares change several times a second.

    @see data_centre_balance
*/
class balance_recorder
{
public:
    /** Both references must outlive the recorder. */
    balance_recorder(json_log& log, gateway_metrics& metrics);

    /** Records changes, the oldest first. */
    void record(std::span<const balance_change> changes);

private:
    json_log& log_;
    gateway_metrics& metrics_;
};

} // namespace turmericlane
