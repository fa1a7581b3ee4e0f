#include "balance_recorder.h"

namespace turmericlane
{

balance_recorder::balance_recorder(json_log& log, gateway_metrics& metrics)
    : log_(log)
    , metrics_(metrics)
{
}

void balance_recorder::record(std::span<const balance_change> changes)
{
    for (const auto& it : changes)
    {
        metrics_.on_balance_changed(it);
        if (it.is_reason_new)
            log_.write_detail(
                gateway_event::balance_changed,
                {{"service", it.service},
                 {"destination", it.destination},
                 {"share", it.share},
                 {"why", to_string(it.reason)}});
    }
}

} // namespace turmericlane
