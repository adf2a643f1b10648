#include "papayastep/node/candidates.h"

#include "papayastep/routing/leastcostplacement.h"

#include <algorithm>
#include <iterator>

namespace papayastep::node {

namespace {

/// Number of servers above which a request is placed among a random sample of them, so that the work for a request does
/// not grow with the service. It is as many as the placement policy scores.
const std::size_t maxSampledCandidates = routing::LeastCostSettings().maxScored;

routing::Candidate candidateOf(const NodeContext &context, const config::BackendServer &server)
{
    routing::Candidate candidate;
    candidate.server = server.id;
    candidate.vm = server.vm;
    candidate.zone = server.zone;
    candidate.slots = server.slots;
    const health::ServerView view = context.health.view(server.id);
    candidate.slotsInUse = view.slotsInUse;
    candidate.queueLength = view.queueLength;
    candidate.latency = view.latency;
    candidate.failureRisk = context.gray.probability(server.id);
    candidate.idle = context.idle.idle(server.id);
    candidate.loadAge = view.age.value_or(base::Duration::zero());
    candidate.drained = !server.acceptsRequests() || context.isLeaving(server.vm)
        || context.announcements.isLeaving(server.id, server.incarnation)
        || view.availability == health::Availability::Draining || view.availability == health::Availability::Gone;
    const bool known = server.vm == context.settings.vm || context.vms.find(server.vm) != nullptr;
    const bool reachable = known && !context.silence.isSilent(server.vm);
    candidate.pathUsable = reachable;
    if (!context.settings.ejection) {
        return candidate;
    }
    candidate.pathUsable = reachable && view.path != health::PathState::Broken;
    candidate.trial = view.availability == health::Availability::Trial;
    candidate.usable = view.availability == health::Availability::Usable || candidate.trial || view.spread;
    candidate.weight = view.weight;
    if (context.settings.usesOnlyFailureFilter()) {
        candidate.trial = false;
        candidate.usable = true;
        candidate.weight = 1;
    }
    return candidate;
}

std::vector<routing::Candidate> estimatesOf(const NodeContext &context,
                                            const std::vector<const config::BackendServer *> &servers)
{
    std::vector<routing::Candidate> candidates;
    candidates.reserve(servers.size());
    for (const config::BackendServer *server : servers) {
        candidates.push_back(candidateOf(context, *server));
    }
    return candidates;
}

}

std::vector<routing::Candidate> candidatesOf(const NodeContext &context, const base::ServiceId &service)
{
    return estimatesOf(context, context.active.configuration->serversOf(service));
}

std::vector<routing::Candidate> sampledCandidates(NodeContext &context, const base::ServiceId &service)
{
    const auto &all = context.active.configuration->serversOf(service);
    std::vector<const config::BackendServer *> open;
    open.reserve(all.size());
    std::copy_if(all.begin(), all.end(), std::back_inserter(open), [](const config::BackendServer *server) {
        return server->acceptsRequests();
    });
    if (open.size() <= maxSampledCandidates) {
        return estimatesOf(context, open);
    }
    std::vector<const config::BackendServer *> sample;
    sample.reserve(maxSampledCandidates);
    std::sample(open.begin(), open.end(), std::back_inserter(sample), maxSampledCandidates, context.random);
    return estimatesOf(context, sample);
}

base::Duration medianLatency(const std::vector<routing::Candidate> &candidates)
{
    std::vector<base::Duration> latencies;
    for (const routing::Candidate &candidate : candidates) {
        if (candidate.latency > base::Duration::zero()) {
            latencies.push_back(candidate.latency);
        }
    }
    if (latencies.empty()) {
        return base::Duration::zero();
    }
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return *middle;
}

}
