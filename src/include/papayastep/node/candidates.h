#pragma once

#include "papayastep/node/nodecontext.h"
#include "papayastep/routing/placement.h"

#include <vector>

namespace papayastep::node {

/// What this node believes about all backend servers of a service, as placement wants it.
std::vector<routing::Candidate> candidatesOf(const NodeContext &context, const base::ServiceId &service);

/// The median of the known latencies; 0 where none is known.
base::Duration medianLatency(const std::vector<routing::Candidate> &candidates);

}
