#pragma once

/** @file
    Module decisions: admission, routing, limits, hedging, retries, coverage.

    Dependencies: core, bundle, xxhash.
    It must not use sockets, threads, files or the system clock.
*/

#include "entry/search_coordinator.h"
#include "messages/search_messages.h"
#include "owner/group_dispatcher.h"
#include "routing/key_partition.h"
#include "routing/owner_map.h"
