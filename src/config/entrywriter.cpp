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
    return {{"id", workspace.id.value()}, {"keys", keys}, {"rate", workspace.rate}, {"burst", workspace.burst}};
}

ordered_json writeEntry(const Service &service)
{
    const bool fast = service.prefer == DetectionPreference::FastDetection;
    return {{"id", service.id.value()},
            {"prefer", fast ? "fast-detection" : "few-ejections"},
            {"floor", service.floor},
            {"healthPath", service.healthPath}};
}

ordered_json writeEntry(const Route &route)
{
    ordered_json json{{"id", route.id.value()},
                      {"host", route.host},
                      {"pathPrefix", route.pathPrefix},
                      {"methods", route.methods},
                      {"service", route.service.value()},
                      {"deadline", formatDuration(route.deadline)},
                      {"retention", formatDuration(route.retention)},
                      {"stream", route.stream}};
    if (route.idempotent) {
        json["idempotent"] = *route.idempotent;
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
