#pragma once

/** @file
    Module node: the services of an instance, which run the code of the modules
    decisions and state on threads and sockets.

    Dependencies: all other modules.
    It makes no decisions itself; these belong to the modules decisions, state
    and bundle.
*/

#include "engine/engine.h"
#include "http/http_service.h"
#include "log/event.h"
#include "node/instance_process.h"
#include "settings/instance_settings.h"
