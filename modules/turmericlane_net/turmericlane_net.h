#pragma once

/** @file
    Module net: sessions with peers, connections to backend servers, and the
    HTTP front end.

    Dependencies: core, wire, metrics, Boost.Asio, cpp-httplib.
    It must not know what a message or a request means.
*/

#include "backend/backend_pool.h"
#include "http/http_front.h"
#include "peers/peer_listener.h"
#include "peers/peer_network.h"
#include "peers/peer_settings.h"
