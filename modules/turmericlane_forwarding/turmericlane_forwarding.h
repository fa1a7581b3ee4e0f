#pragma once

/** @file
    Module forwarding: routes by host and path, the searchers that serve them,
    replica choice, hedging, retries, budgets, refusals and the merging of parts
    for requests that are passed on as whole HTTP messages.

    Dependencies: core, decisions.
    It must not know sockets, threads, files, the system clock, HTTP syntax or
    the names that any platform uses.
*/

#include "admission/admission_control.h"
#include "attempts/extra_attempt_budget.h"
#include "attempts/hedge_timing.h"
#include "engine/forward_engine.h"
#include "gather/answer_rule.h"
#include "gather/record_merge.h"
#include "model/route_configuration.h"
#include "routing/route_table.h"
#include "routing/weighted_split.h"
#include "searchers/connection_share.h"
#include "searchers/fleet_division.h"
#include "searchers/searcher_registry.h"
