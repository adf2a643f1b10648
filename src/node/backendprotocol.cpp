#include "papayastep/node/backendprotocol.h"

#include "papayastep/base/clock.h"
#include "papayastep/net/fieldvalues.h"

namespace papayastep::node {

namespace {

constexpr unsigned firstFailure = 400;

}

void NativeBackendProtocol::prepare(net::RequestHead &head, const BackendCall &call) const
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(call.remaining);
    head.set("Papayastep-Request-Id", toString(call.request));
    if (!call.workspace.empty()) {
        head.set("Papayastep-Workspace", call.workspace.value());
    }
    head.set("Papayastep-Deadline-Ms", std::to_string(left.count()));
}

AnswerKind NativeBackendProtocol::classify(const net::ResponseHead &, const net::RequestHead &) const
{
    return AnswerKind::Answered;
}

bool NativeBackendProtocol::isHealthy(const net::ResponseHead &answer, const base::BackendServerId &) const
{
    return answer.result_int() < firstFailure;
}

bool NativeBackendProtocol::isFrom(const net::ResponseHead &, const base::BackendServerId &) const
{
    return true;
}

routing::ServerAnnouncement NativeBackendProtocol::announcement(const net::ResponseHead &answer) const
{
    routing::ServerAnnouncement announcement;
    announcement.limit = routing::readLimit(net::fieldValues(answer, "Papayastep-Server-Limit"));
    announcement.isLeaving = net::view(answer["Papayastep-Server-Leaving"]) == "1";
    return announcement;
}

}
