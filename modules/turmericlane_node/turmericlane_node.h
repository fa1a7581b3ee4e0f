#pragma once

/** @file
    Module node: the services of the daemon, which drive decisions and state
    from threads and sockets.

    Dependencies: all other modules.
    It must not decide anything itself: decisions belong to the modules
    decisions, state and bundle.
*/

#include "engine/engine.h"
#include "http/http_service.h"
#include "log/event.h"
#include "node/instance_process.h"
#include "settings/instance_settings.h"
