#pragma once

/** @file
    Module metrics: counters, gauges, latency histograms and their text form.

    Dependencies: core, Boost.Histogram.
    It must not know sockets, threads, or which module counts what.
*/

#include "histogram/latency_histogram.h"
#include "registry/counter.h"
#include "registry/instance_counters.h"
#include "registry/metrics_registry.h"
