#pragma once

/** @file
    Module bundle: the signed, versioned configuration.

    Dependencies: core, nlohmann_json, libsodium.
    It must not know sockets, threads or the search path.
*/

#include "model/bundle.h"
