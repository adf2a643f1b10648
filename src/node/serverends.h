#pragma once

#include "papayastep/node/nodecontext.h"
#include "papayastep/routing/serverendtable.h"

#include <vector>

/// Notices of an entry to the nodes beside the servers of a service about requests under which servers ended.
namespace papayastep::node {

void notifyServerEnds(NodeContext &context,
                      const base::ServiceId &service,
                      const std::vector<routing::ServerEnd> &ends);

/// Forgets the ends under a request that has run to its end, here and at the other nodes.
void recordCompleteRun(NodeContext &context, const base::ServiceId &service, const routing::RequestDigest &request);

}
