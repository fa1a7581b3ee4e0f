#pragma once

/** @file
    Module gateway: one event loop that forwards whole HTTP requests between
    callers and searchers, tells callers which addresses to use, exchanges state
    with the other instances, and follows a store of configuration and
    searchers.

    Dependencies: core, forwarding, http, metrics, state, wire, Boost.
    The module must not depend on the names and formats of a platform; an
    adapter passes them in as protocol_names and as decoded values.
*/

#include "gateway/gateway.h"
#include "http/client_connection.h"
#include "http/protocol_names.h"
#include "log/json_log.h"
#include "store/store_decoder.h"
