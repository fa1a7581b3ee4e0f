#pragma once

/** @file
    Module http: what counts as an HTTP response, for all clients.

    Dependencies: Boost.
    The module must not depend on sockets, threads or the meaning of a response.
*/

#include "response/chunk_checker.h"
#include "response/response_head.h"
