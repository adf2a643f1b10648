#pragma once

#include "papayastep/node/nodecontext.h"
#include "papayastep/routing/placement.h"

#include <vector>

namespace papayastep::node {

/// Returns this node's estimates of all backend servers of a service, as input for the placement.
std::vector<routing::Candidate> candidatesOf(const NodeContext &context, const base::ServiceId &service);

/// Returns the same for the servers of which one request may choose: all that accept requests or, in a large service, a
/// random sample of them.
std::vector<routing::Candidate> sampledCandidates(NodeContext &context, const base::ServiceId &service);

/// Returns the median of the known latencies, or 0 if none is known.
base::Duration medianLatency(const std::vector<routing::Candidate> &candidates);

}
