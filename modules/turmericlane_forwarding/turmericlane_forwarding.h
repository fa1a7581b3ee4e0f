#pragma once

/** @file
    Module forwarding: passes whole HTTP requests on to searchers. It selects
    the route by host and path, chooses replicas, limits hedges and retries by a
    budget, refuses requests under overload, and merges the answers of shards.

    Dependencies: core, decisions.
    It must not depend on sockets, threads, files, the system clock, HTTP
    syntax or the names that a platform uses.
*/

#include "admission/admission_control.h"
#include "admission/completion_time.h"

#include "admission/rank_priority.h"
#include "admission/request_admission.h"
#include "attempts/extra_attempt_budget.h"
#include "attempts/hedge_timing.h"
#include "engine/forward_engine.h"
#include "gather/answer_rule.h"
#include "gather/record_merge.h"
#include "model/route_configuration.h"
#include "routing/data_centre_balance.h"
#include "routing/region_map.h"
#include "routing/route_table.h"
#include "routing/weighted_split.h"
#include "searchers/connection_share.h"
#include "searchers/data_centre_traffic.h"
#include "searchers/failure_exchange.h"
#include "searchers/fleet_division.h"
#include "searchers/searcher_availability.h"
#include "searchers/searcher_registry.h"
#include "searchers/warm_up_share.h"
