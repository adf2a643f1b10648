#include "entrywriter.h"

#include "papayastep/config/duration.h"

namespace papayastep::config {

using nlohmann::ordered_json;

ordered_json writeEntry(const Workspace &workspace)
{
    ordered_json keys = ordered_json::array();
    for (const KeyFingerprint &key : workspace.keys) {
        keys.push_back("sha256:" + key.toString());
    }
    ordered_json json{{"id", workspace.id.value()}, {"keys", keys}};
    if (workspace.isLimited()) {
        json["rate"] = workspace.rate;
        json["burst"] = workspace.burst;
    } else {
        json["unlimited"] = true;
    }
    if (workspace.priority) {
        json["priority"] = *workspace.priority;
    }
    return json;
}

ordered_json writeEntry(const Service &service)
{
    const bool fast = service.prefer == DetectionPreference::FastDetection;
    ordered_json json{{"id", service.id.value()},
                      {"prefer", fast ? "fast-detection" : "few-ejections"},
                      {"floor", service.floor},
                      {"healthPath", service.healthPath}};
    if (service.coldStart.isLimited()) {
        json["coldStart"] = formatDuration(service.coldStart.duration);
        json["coldRequestsPerSecond"] = service.coldStart.requestsPerSecond;
    }
    return json;
}

ordered_json writeEntry(const Route &route)
{
    ordered_json json{{"id", route.id.value()},
                      {"host", route.host},
                      {"pathPrefix", route.pathPrefix},
                      {"below", route.onlyBelowPrefix},
                      {"methods", route.methods},
                      {"service", route.service.value()},
                      {"public", route.isPublic},
                      {"priority", route.priority},
                      {"maxAttempts", route.maxAttempts},
                      {"deadline", formatDuration(route.deadline)},
                      {"retention", formatDuration(route.retention)},
                      {"stream", route.stream}};
    if (route.idempotent) {
        json["idempotent"] = *route.idempotent;
    }
    if (route.targetLatency > base::Duration::zero()) {
        json["targetLatency"] = formatDuration(route.targetLatency);
    }
    if (!route.split.empty()) {
        json.erase("service");
        for (const RouteTarget &target : route.split) {
            json["split"].push_back({{"service", target.service.value()}, {"weight", target.weight}});
        }
    }
    return json;
}

ordered_json writeLimits(const CallerLimits &limits)
{
    ordered_json json = ordered_json::object();
    if (limits.headerBytes) {
        json["headerBytes"] = *limits.headerBytes;
    }
    if (limits.bodyBytes) {
        json["bodyBytes"] = *limits.bodyBytes;
    }
    if (limits.headerTimeout) {
        json["headerTimeout"] = formatDuration(*limits.headerTimeout);
    }
    if (limits.idleTimeout) {
        json["idleTimeout"] = formatDuration(*limits.idleTimeout);
    }
    return json;
}

ordered_json writeEntry(const BackendServer &server)
{
    return {{"id", server.id.value()},
            {"service", server.service.value()},
            {"vm", server.vm.value()},
            {"zone", server.zone.value()},
            {"address", server.address},
            {"port", server.port},
            {"slots", server.slots},
            {"drain", server.drain}};
}

}
