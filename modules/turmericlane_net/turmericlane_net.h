#pragma once

/** @file
    Module net: sessions with peers, connections to backend servers, the HTTP
    front end, and the HTTP client.

    Dependencies: core, http, wire, metrics, Boost.Asio, cpp-httplib.
    The module must not depend on what messages and requests mean.
*/

#include "backend/backend_pool.h"
#include "http/http_frontend.h"
#include "peers/peer_listener.h"
#include "peers/peer_network.h"
#include "peers/peer_settings.h"
