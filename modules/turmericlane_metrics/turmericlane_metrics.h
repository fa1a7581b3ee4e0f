#pragma once

/** @file
    Module metrics: counters, gauges and latency histograms, and their output
    in the Prometheus text format.

    Dependencies: core, Boost.Histogram.
    It must not depend on sockets, threads or the modules that count.
*/

#include "histogram/latency_histogram.h"
#include "registry/counter.h"
#include "registry/instance_counters.h"
#include "registry/metrics_registry.h"
