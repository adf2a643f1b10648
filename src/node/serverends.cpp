#include "serverends.h"

namespace papayastep::node {

namespace {

void notify(NodeContext &context, const base::ServiceId &service, const routing::ServerEndNotice &notice)
{
    for (const base::VmId &vm : context.active.configuration->vmsOf(service)) {
        context.send(wire::outgoing(vm, wire::MessageKind::ServerEndNotice, notice));
    }
}

std::uint32_t milliseconds(base::Duration duration)
{
    return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}

void notifyServerEnds(NodeContext &context, const base::ServiceId &service, const std::vector<routing::ServerEnd> &ends)
{
    const base::TimePoint now = context.clock.now();
    for (const routing::ServerEnd &end : ends) {
        routing::ServerEndNotice notice;
        notice.request = end.request;
        notice.requestHigh = end.attempt.request.high;
        notice.requestLow = end.attempt.request.low;
        notice.attempt = static_cast<std::uint32_t>(end.attempt.attempt);
        notice.ageMs = milliseconds(now - end.sentAt);
        notice.followsEnd = end.followsEnd;
        notify(context, service, notice);
    }
}

void recordCompleteRun(NodeContext &context, const base::ServiceId &service, const routing::RequestDigest &request)
{
    if (context.serverEnds.recordRun(request)) {
        routing::ServerEndNotice notice;
        notice.request = request;
        notice.hasRun = true;
        notify(context, service, notice);
    }
}

}
