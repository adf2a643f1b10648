#include "papayastep/node/attempt.h"

#include "papayastep/base/error.h"
#include "papayastep/base/log.h"
#include "papayastep/net/task.h"
#include "papayastep/node/servingnode.h"

namespace papayastep::node {

namespace {

constexpr std::string_view logPrefix = "hop";

wire::CancelAttempt cancelOf(const wire::HopRequest &hop, base::TimePoint startedAt, base::TimePoint now, bool stop)
{
    wire::CancelAttempt cancel;
    cancel.requestHigh = hop.requestHigh;
    cancel.requestLow = hop.requestLow;
    cancel.attempt = hop.attempt;
    cancel.remaining = hop.remaining - (now - startedAt).count();
    cancel.sent = now.time_since_epoch().count();
    cancel.stop = stop;
    return cancel;
}

/// Maps an HTTP status to the outcome of a hop. A server that sheds load is overloaded, not faulty: if this were
/// counted as a failure, the server would be ejected just when all servers are needed.
health::HopOutcome hopOutcomeOfStatus(unsigned status)
{
    constexpr unsigned tooManyRequests = 429;
    constexpr unsigned serviceUnavailable = 503;
    if (status == tooManyRequests || status == serviceUnavailable) {
        return health::HopOutcome::Refused;
    }
    return status >= 500 ? health::HopOutcome::ServerFailed : health::HopOutcome::Answered;
}

/// The remaining body of an answer that is still being received over the hop.
class HopBody final : public AnswerBody
{
public:
    HopBody(std::shared_ptr<net::HttpExchange> exchange, base::TimePoint deadline)
        : m_exchange(std::move(exchange))
        , m_deadline(deadline)
    {
    }
    ~HopBody() override
    {
        if (!complete()) {
            m_exchange->cancel();
        }
    }
    net::Awaitable<std::string> readPart() override
    {
        return m_exchange->readPart();
    }
    bool complete() const override
    {
        return m_exchange->progress() == net::ExchangeProgress::Complete;
    }
    base::TimePoint deadline() const override
    {
        return m_deadline;
    }
    void abort() override
    {
        m_exchange->cancel();
    }

private:
    std::shared_ptr<net::HttpExchange> m_exchange;
    base::TimePoint m_deadline;
};

}

Attempt::Attempt(NodeContext &context, wire::HopRequest hop, base::VmId vm)
    : m_context(context)
    , m_hop(std::move(hop))
    , m_vm(std::move(vm))
    , m_startedAt(context.clock.now())
{
}

void Attempt::detach()
{
    m_onChange = nullptr;
}

void Attempt::cancelAnswered(routing::CancelAnswer answer)
{
    m_cancelAnswer = answer;
    notifyChanged();
}

const wire::HopRequest &Attempt::hop() const
{
    return m_hop;
}

const base::VmId &Attempt::vm() const
{
    return m_vm;
}

base::TimePoint Attempt::startedAt() const
{
    return m_startedAt;
}

bool Attempt::acknowledged() const
{
    return m_acknowledged;
}

bool Attempt::reportedHanging() const
{
    return m_reportedHanging;
}

bool Attempt::finished() const
{
    return m_finished;
}

bool Attempt::hopFailed() const
{
    return m_hopFailed;
}

bool Attempt::neverSent() const
{
    return m_neverSent;
}

std::optional<routing::CancelAnswer> Attempt::cancelAnswer() const
{
    return m_cancelAnswer;
}

ServedAnswer &Attempt::answer()
{
    return m_answer;
}

void Attempt::notifyChanged()
{
    if (m_onChange) {
        m_onChange();
    }
}

LocalAttempt::LocalAttempt(NodeContext &context, wire::HopRequest hop, ServingNode &serving)
    : Attempt(context, std::move(hop), context.settings.vm)
    , m_serving(serving)
{
    m_acknowledged = true;
}

void LocalAttempt::start(net::ClientRequest request, std::function<void()> changed)
{
    m_onChange = std::move(changed);
    auto self = std::static_pointer_cast<LocalAttempt>(shared_from_this());
    auto run = [self, request = std::move(request)]() mutable -> net::Awaitable<void> {
        auto onHangSuspected = [weak = std::weak_ptr<LocalAttempt>(self)] {
            if (const auto attempt = weak.lock()) {
                attempt->m_reportedHanging = true;
                attempt->notifyChanged();
            }
        };
        self->m_answer = co_await self->m_serving.serve(self->m_hop, std::move(request), std::move(onHangSuspected));
        self->m_finished = true;
        self->notifyChanged();
    };
    net::spawnTask(m_context.io, "attempt", std::move(run));
}

void LocalAttempt::abandon()
{
    detach();
    m_serving.entryDisconnected(m_hop.requestId(), static_cast<int>(m_hop.attempt));
}

void LocalAttempt::requestCancel(bool stop)
{
    const auto now = m_context.clock.now();
    const wire::CancelAttempt cancel = cancelOf(m_hop, m_startedAt, now, stop);
    const routing::SentStamp stamp{m_context.settings.vm, m_context.incarnation, now.time_since_epoch()};
    cancelAnswered(m_serving.cancel(cancel, stamp));
}

RemoteAttempt::RemoteAttempt(NodeContext &context, wire::HopRequest hop, base::VmId vm, const net::Endpoint &endpoint)
    : Attempt(context, std::move(hop), std::move(vm))
    , m_exchange(std::make_shared<net::HttpExchange>(context.io, context.hopPool, endpoint))
{
}

void RemoteAttempt::start(net::ClientRequest request, std::function<void()> changed)
{
    m_onChange = std::move(changed);
    auto self = std::static_pointer_cast<RemoteAttempt>(shared_from_this());
    m_exchange->onAcknowledged([weak = std::weak_ptr<RemoteAttempt>(self)] {
        if (const auto attempt = weak.lock()) {
            attempt->m_reportedHanging = attempt->m_acknowledged;
            attempt->m_acknowledged = true;
            attempt->m_context.health.hopAcknowledged(attempt->m_vm,
                                                      {attempt->m_hop.requestId(), attempt->m_hop.attempt});
            attempt->notifyChanged();
        }
    });
    m_context.health.hopSent(m_vm, m_hop.server, {m_hop.requestId(), m_hop.attempt});
    const auto head = m_context.hopCodec.sealRequest(
        m_hop, net::view(request.head.method_string()), net::view(request.head.target()), request.body.view());
    request.head.set(wire::hopHeader, head);
    m_context.transfers.record(
        TransferPurpose::Request, m_context.isInOtherZone(m_vm), request.body.size() + head.size());
    auto run = [self, request = std::move(request)]() mutable -> net::Awaitable<void> {
        co_await self->run(std::move(request));
    };
    net::spawnTask(m_context.io, "attempt", std::move(run));
}

void RemoteAttempt::abandon()
{
    detach();
    m_abandoned = true;
    reportHopEnd(m_finished ? health::HopOutcome::CancelledByUs : health::HopOutcome::GivenUp);
    m_exchange->cancel();
}

void RemoteAttempt::requestCancel(bool stop)
{
    const auto now = m_context.clock.now();
    m_context.send(wire::outgoing(m_vm, wire::MessageKind::CancelAttempt, cancelOf(m_hop, m_startedAt, now, stop)));
}

net::Awaitable<void> RemoteAttempt::run(net::ClientRequest request)
{
    const config::Route *route = m_context.active.configuration->route(m_hop.route);
    const bool stream = route != nullptr && route->stream;
    co_await m_exchange->run(std::move(request), stream ? streamAnswerBufferBytes : answerBufferBytes);
    m_finished = true;
    if (!m_abandoned) {
        readAnswer();
    }
    notifyChanged();
}

void RemoteAttempt::readAnswer()
{
    const bool headCame = m_exchange->progress() >= net::ExchangeProgress::HeadReceived;
    if (!headCame || m_exchange->failure() != net::ExchangeFailure::None) {
        m_hopFailed = true;
        m_neverSent = m_exchange->progress() == net::ExchangeProgress::Connecting;
        const bool serverSide = m_acknowledged || headCame;
        reportHopEnd(serverSide ? health::HopOutcome::ServerFailed : health::HopOutcome::ConnectionFailed);
        return;
    }
    try {
        m_answer.reply = m_context.hopCodec.openReply(net::view(m_exchange->head()[wire::hopReplyHeader]));
    } catch (const base::Error &error) {
        PAPAYASTEP_LOG(WARNING, logPrefix) << "Rejected an invalid answer over a hop." << base::field("vm", m_vm)
                                           << base::field("code", number(error.code()));
        m_hopFailed = true;
        reportHopEnd(health::HopOutcome::ServerFailed);
        return;
    }
    // An answer to another request on this connection, late or out of order, would have another id.
    const bool own = m_answer.reply.requestId() == m_hop.requestId() && m_answer.reply.attempt == m_hop.attempt;
    if (!own) {
        PAPAYASTEP_LOG(ERROR, logPrefix) << "Received the answer to another request." << base::field("vm", m_vm);
        m_hopFailed = true;
        reportHopEnd(health::HopOutcome::ServerFailed);
        return;
    }
    m_acknowledged = true;
    m_answer.head = m_exchange->head();
    m_answer.body = std::move(m_exchange->body());
    m_context.transfers.record(
        TransferPurpose::Answer, m_context.isInOtherZone(m_vm), m_answer.bodyBytes() + m_answer.reply.report.size());
    if (m_exchange->progress() != net::ExchangeProgress::Complete) {
        m_answer.remainingBody = std::make_unique<HopBody>(m_exchange, m_startedAt + base::Duration(m_hop.remaining));
    }
    try {
        m_context.health.applyReport(m_vm, wire::decode<health::ServerReport>(m_answer.reply.report));
    } catch (const base::Error &) {
        VLOG(1) << logPrefix << ": Ignored a malformed server report." << base::field("vm", m_vm);
    }
    switch (m_answer.outcome()) {
    case wire::HopOutcome::Answered:
        reportHopEnd(m_answer.reply.callFailed ? health::HopOutcome::Refused
                                               : hopOutcomeOfStatus(m_answer.head.result_int()));
        break;
    case wire::HopOutcome::NotRun:
        reportHopEnd(health::HopOutcome::Refused);
        break;
    default:
        reportHopEnd(health::HopOutcome::ServerFailed);
        break;
    }
}

void RemoteAttempt::reportHopEnd(health::HopOutcome outcome)
{
    if (m_hopEndReported) {
        return;
    }
    m_hopEndReported = true;
    m_context.health.hopEnded(m_vm, {m_hop.requestId(), m_hop.attempt}, outcome, m_context.clock.now() - m_startedAt);
    m_context.schedulePump();
}

}
