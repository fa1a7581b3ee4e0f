#pragma once

/** @file
    Module state: tickets and bookings, membership, spread of bundle versions,
    the choice of the instances that callers use, start-up and shutdown, and the
    items of the store.

    Dependencies: core, xxhash, libsodium.
    The module must not depend on sockets, threads, files, the system clock,
    HTTP, the frame encoding or the content of a bundle.
*/

#include "booking/booking_actions.h"
#include "booking/booking_coordinator.h"
#include "booking/booking_executor.h"
#include "booking/booking_messages.h"
#include "booking/ticket.h"
#include "booking/ticket_issuer.h"
#include "instances/caller_placement.h"
#include "instances/instance_answer.h"
#include "instances/instance_count.h"
#include "membership/member.h"
#include "membership/membership_actions.h"
#include "membership/membership_table.h"
#include "membership/peer_versions.h"
#include "membership/platform_reader.h"
#include "membership/startup_gate.h"
#include "membership/version_spread.h"
#include "shutdown/shutdown_sequence.h"
#include "store/follow_monitor.h"
#include "store/item_order.h"
#include "store/store_follower.h"
#include "store/store_position.h"
