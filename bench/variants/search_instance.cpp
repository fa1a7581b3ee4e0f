#include "search_instance.h"

namespace turmericlane::bench
{

search_instance::search_instance(
    const run_context& context,
    ordinal own_ordinal,
    std::uint32_t limit_divisor)
    : context_(context)
    , own_ordinal_(own_ordinal)
    , process_(context.events)
    , client_(
          context.events,
          context.network,
          process_,
          context.checker,
          context.searchers,
          own_ordinal % data_centre_count,
          limit_divisor)
{
}

void search_instance::on_load_report(const load_report&) {}

void search_instance::on_peer_view(ordinal, bool) {}

void search_instance::on_resume() {}

} // namespace turmericlane::bench
