#include "search_node.h"

namespace turmericlane::bench
{

search_node::search_node(
    const surroundings& around, ordinal self, std::uint32_t limit_divisor)
    : around_(around)
    , self_(self)
    , process_(around.events)
    , link_(
          around.events,
          around.network,
          process_,
          around.checker,
          around.searchers,
          self % data_centre_count,
          limit_divisor)
{
}

void search_node::on_load_report(const load_report&) {}

void search_node::on_peer_view(ordinal, bool) {}

void search_node::on_wake() {}

} // namespace turmericlane::bench
