#pragma once

#include "papayastep/base/clock.h"

#include <cstddef>

/// What is expected of a backend server's run times where few runs, or only old ones, tell.
namespace papayastep::health {

/// What a latency that was `measured` `age` ago is worth now, where siblings usually take `usual`. 0 stands for not
/// known in both. A server that was slow for a few answers gets nothing while others are free, so nobody measures it
/// again: without drift it would stay without work, though well, for as long as the others bear the load.
base::Duration decayedLatency(base::Duration measured, base::Duration usual, base::Duration age);

/// After how long a run counts as overdue, where `runs` runs took `meanRun` and siblings take `usual` (0: not known).
/// With few runs of its own a server is judged by its siblings: a new or restarted one would else be held back as
/// hanging for its first ordinary runs.
base::Duration overdueAfter(base::Duration meanRun, std::size_t runs, base::Duration usual);

}
