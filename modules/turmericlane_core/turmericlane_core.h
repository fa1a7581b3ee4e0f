#pragma once

/** @file
    Module core: verdicts, ranks, ids, clocks and the kernel.

    Dependencies: the C++ standard library.
    It must not depend on any service, message, socket or file.
*/

#include "ids/ids.h"
#include "kernel/kernel.h"
#include "kernel/service.h"
#include "time/clock.h"
#include "time/manual_clock.h"
#include "time/milliseconds.h"
#include "time/monotonic_clock.h"
#include "verdict/rank.h"
#include "verdict/reason.h"
#include "verdict/result.h"
#include "verdict/verdict.h"
