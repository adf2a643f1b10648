#pragma once

#include "papayastep/base/clock.h"

#include <cstddef>

/// Estimates of a backend server's run times from few or old samples.
namespace papayastep::health {

/// Returns the latency `measured` at time `age` ago, decayed towards the siblings' `usual` latency. Both are 0 if not
/// known. A server that was slow for a few answers gets no requests while others are free, so there are no new samples.
/// Without the decay a healthy server would stay without work for as long as the others can carry the load.
base::Duration decayedLatency(base::Duration measured, base::Duration usual, base::Duration age);

/// Returns the time after which a run is overdue, given `runs` earlier runs with the mean time `meanRun` and the
/// siblings' `usual` run time (0 if not known). A server with few runs of its own is compared with its siblings;
/// otherwise a new or restarted server would be held as hanging during its first ordinary runs.
base::Duration overdueAfter(base::Duration meanRun, std::size_t runs, base::Duration usual);

}
