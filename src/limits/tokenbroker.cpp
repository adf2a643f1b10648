#include "brokercontext.h"
#include "decodeinto.h"
#include "workspacetokens.h"

#include "papayastep/base/log.h"
#include "papayastep/limits/tokenbroker.h"

#include <set>
#include <unordered_map>

namespace papayastep::limits {

/// Holds the workspaces in use and their timers, and dispatches messages to them.
class TokenBroker::Impl
{
public:
    Impl(const NodeIdentity &self, const base::Clock &clock, const BrokerSettings &settings)
        : m_context(self, clock, settings)
        , m_lastSteady(clock.now())
        , m_lastWall(clock.wallNow())
    {
    }

    void applyConfiguration(config::ConfigurationPtr configuration);
    void applyVmList(const config::VmList &list, base::TimePoint requestedAt);
    Admission acquire(const base::WorkspaceId &workspace, const base::RequestId &request, base::TimePoint deadline);
    void cancelWaiting(const base::RequestId &request);
    void giveBack(const Token &token);
    void receive(const base::VmId &from,
                 base::Incarnation incarnation,
                 wire::MessageKind kind,
                 std::string_view payload);
    void tick();
    std::optional<base::TimePoint> nextTick() const;
    void drain();
    std::vector<wire::Outgoing> takeMessages();
    std::vector<AdmissionDecision> takeDecisions();
    WorkspaceStatus status(const base::WorkspaceId &workspace);
    const LimiterCounters &counters();
    std::size_t activeWorkspaces() const;
    bool isReady() const
    {
        return m_context.tenure.isReady();
    }

private:
    struct Entry
    {
        Entry(const base::WorkspaceId &id, BrokerContext &context)
            : tokens(id, context)
        {
        }
        WorkspaceTokens tokens;
        base::TimePoint scheduledAt = base::TimePoint::max();
    };
    using Entries = std::unordered_map<base::WorkspaceId, Entry>;

    Entry &use(const base::WorkspaceId &workspace);
    Entry *find(const base::WorkspaceId &workspace);
    void schedule(const base::WorkspaceId &workspace, Entry &entry);
    void serviceAll();
    void detectClockStop();

    void receive(const base::VmId &from, base::Incarnation incarnation, const TokenRequest &request);
    void receive(const base::VmId &from, base::Incarnation incarnation, const TokenGrant &grant);
    void receive(const std::vector<GrantUse> &uses);

    BrokerContext m_context;
    Entries m_entries;
    std::set<std::pair<base::TimePoint, Entries::value_type *>> m_timers;
    std::unordered_map<base::RequestId, base::WorkspaceId> m_waiting;
    base::TimePoint m_lastSteady;
    base::WallTime m_lastWall;
};

void TokenBroker::Impl::applyConfiguration(config::ConfigurationPtr configuration)
{
    detectClockStop();
    if (m_context.applyConfiguration(std::move(configuration))) {
        serviceAll();
    }
}

void TokenBroker::Impl::applyVmList(const config::VmList &list, base::TimePoint requestedAt)
{
    detectClockStop();
    if (m_context.applyVmList(list, requestedAt)) {
        serviceAll();
    }
}

Admission TokenBroker::Impl::acquire(const base::WorkspaceId &workspace,
                                     const base::RequestId &request,
                                     base::TimePoint deadline)
{
    detectClockStop();
    if (!m_context.configuration) {
        return Refused{base::ResultCode::NodeNotReady, std::chrono::seconds(1)};
    }
    if (m_context.draining) {
        return Refused{base::ResultCode::NodeDraining, std::chrono::milliseconds(1)};
    }
    if (m_context.workspace(workspace) == nullptr) {
        return Refused{base::ResultCode::KeyUnknown, {}};
    }
    Entry &entry = use(workspace);
    Admission admission = entry.tokens.acquire(request, deadline);
    schedule(workspace, entry);
    m_context.counters.admitted += std::holds_alternative<Admitted>(admission) ? 1 : 0;
    m_context.counters.refused += std::holds_alternative<Refused>(admission) ? 1 : 0;
    if (std::holds_alternative<Waiting>(admission)) {
        m_waiting.emplace(request, workspace);
    }
    return admission;
}

void TokenBroker::Impl::cancelWaiting(const base::RequestId &request)
{
    const auto found = m_waiting.find(request);
    if (found == m_waiting.end()) {
        return;
    }
    if (Entry *entry = find(found->second)) {
        entry->tokens.cancelWaiting(request);
    }
    m_waiting.erase(found);
}

void TokenBroker::Impl::giveBack(const Token &token)
{
    detectClockStop();
    Entry *entry = find(token.workspace);
    if (entry != nullptr && entry->tokens.giveBack(token)) {
        ++m_context.counters.givenBack;
        schedule(token.workspace, *entry);
    }
}

void TokenBroker::Impl::receive(const base::VmId &from,
                                base::Incarnation incarnation,
                                wire::MessageKind kind,
                                std::string_view payload)
{
    detectClockStop();
    m_context.clearSuspicion(from);
    TokenRequest request;
    TokenGrant grant;
    TokenReturn returned;
    TenureQuery query;
    TenureAnswer answer;
    if (kind == wire::MessageKind::TokenRequest && decodeInto(request, payload)) {
        receive(from, incarnation, request);
    } else if (kind == wire::MessageKind::TokenGrant && decodeInto(grant, payload)) {
        receive(from, incarnation, grant);
    } else if (kind == wire::MessageKind::TokenReturn && decodeInto(returned, payload)) {
        receive(returned.uses);
    } else if (kind == wire::MessageKind::TenureQuery && decodeInto(query, payload)) {
        m_context.tenure.receive(from, incarnation, query);
    } else if (kind == wire::MessageKind::TenureAnswer && decodeInto(answer, payload)) {
        m_context.tenure.receive(from, answer);
    } else {
        ++m_context.counters.messagesIgnored;
    }
}

void TokenBroker::Impl::receive(const base::VmId &from, base::Incarnation incarnation, const TokenRequest &request)
{
    receive(request.uses);
    for (const TokenAsk &ask : request.asks) {
        if (m_context.workspace(ask.workspace) == nullptr) {
            m_context.outbox.answer(from, incarnation, GrantAnswer{ask.askId, {}, 0, 0, 0, false});
            continue;
        }
        Entry &entry = use(ask.workspace);
        entry.tokens.receive(from, incarnation, ask);
        schedule(ask.workspace, entry);
    }
}

void TokenBroker::Impl::receive(const base::VmId &from, base::Incarnation incarnation, const TokenGrant &grant)
{
    for (const GrantAnswer &answer : grant.answers) {
        const auto owner = m_context.askWorkspaces.find(answer.askId);
        Entry *entry = nullptr;
        if (grant.asker == m_context.self.incarnation && owner != m_context.askWorkspaces.end()) {
            entry = find(owner->second);
        }
        if (entry == nullptr || !entry->tokens.receive(from, incarnation, answer)) {
            ++m_context.counters.messagesIgnored;
            continue;
        }
        schedule(entry->tokens.id(), *entry);
    }
}

void TokenBroker::Impl::receive(const std::vector<GrantUse> &uses)
{
    for (const GrantUse &use : uses) {
        Entry *entry = use.holder == m_context.self.incarnation ? find(use.workspace) : nullptr;
        if (entry == nullptr || !entry->tokens.receive(use)) {
            ++m_context.counters.messagesIgnored;
            continue;
        }
        ++m_context.counters.returnsReceived;
        schedule(use.workspace, *entry);
    }
}

void TokenBroker::Impl::tick()
{
    detectClockStop();
    m_context.tenure.tick();
    const base::TimePoint now = m_context.clock.now();
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        Entries::value_type *due = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        due->second.scheduledAt = base::TimePoint::max();
        due->second.tokens.service();
        if (due->second.tokens.isIdle()) {
            m_entries.erase(m_entries.find(due->first));
        } else {
            schedule(due->first, due->second);
        }
    }
}

std::optional<base::TimePoint> TokenBroker::Impl::nextTick() const
{
    std::optional<base::TimePoint> next = m_context.tenure.nextTick(!m_entries.empty());
    if (!m_timers.empty()) {
        next = std::min(next.value_or(m_timers.begin()->first), m_timers.begin()->first);
    }
    return next;
}

void TokenBroker::Impl::drain()
{
    m_context.draining = true;
    for (auto &[id, entry] : m_entries) {
        entry.tokens.drain();
        schedule(id, entry);
    }
    PAPAYASTEP_LOG(INFO, "limits") << "Stopped granting before the node stops." << base::field("vm", m_context.self.vm);
}

std::vector<wire::Outgoing> TokenBroker::Impl::takeMessages()
{
    std::vector<wire::Outgoing> messages = m_context.outbox.take();
    for (wire::Outgoing &message : m_context.tenure.takeMessages()) {
        messages.push_back(std::move(message));
    }
    m_context.counters.messagesSent += messages.size();
    return messages;
}

std::vector<AdmissionDecision> TokenBroker::Impl::takeDecisions()
{
    std::vector<AdmissionDecision> decisions = std::exchange(m_context.decisions, {});
    for (const AdmissionDecision &decision : decisions) {
        const bool admitted = std::holds_alternative<Admitted>(decision.admission);
        ++(admitted ? m_context.counters.admitted : m_context.counters.refused);
        m_waiting.erase(decision.request);
    }
    return decisions;
}

WorkspaceStatus TokenBroker::Impl::status(const base::WorkspaceId &workspace)
{
    if (Entry *entry = find(workspace)) {
        return entry->tokens.status();
    }
    return WorkspaceTokens(workspace, m_context).status();
}

const LimiterCounters &TokenBroker::Impl::counters()
{
    m_context.counters.tenuresLost = m_context.tenure.lapses();
    return m_context.counters;
}

std::size_t TokenBroker::Impl::activeWorkspaces() const
{
    return m_entries.size();
}

TokenBroker::Impl::Entry &TokenBroker::Impl::use(const base::WorkspaceId &workspace)
{
    return m_entries.try_emplace(workspace, workspace, m_context).first->second;
}

TokenBroker::Impl::Entry *TokenBroker::Impl::find(const base::WorkspaceId &workspace)
{
    const auto found = m_entries.find(workspace);
    return found != m_entries.end() ? &found->second : nullptr;
}

/// Moves the timer only to an earlier time. A timer that fires too early costs only a check.
void TokenBroker::Impl::schedule(const base::WorkspaceId &workspace, Entry &entry)
{
    const base::TimePoint due = entry.tokens.nextDue();
    if (due >= entry.scheduledAt) {
        return;
    }
    Entries::value_type *node = &*m_entries.find(workspace);
    if (entry.scheduledAt != base::TimePoint::max()) {
        m_timers.erase({entry.scheduledAt, node});
    }
    entry.scheduledAt = due;
    m_timers.emplace(due, node);
}

void TokenBroker::Impl::serviceAll()
{
    for (auto &[id, entry] : m_entries) {
        entry.tokens.service();
        schedule(id, entry);
    }
}

/// Detects a stopped steady clock. A VM that the platform suspends may resume with a steady clock that did not advance.
/// Its tokens then look valid although their holder may have granted them again, and the workspace would exceed its
/// rate. The wall clock, which is corrected after such a suspension, reveals it. Holders wait long enough for shorter
/// stops.
void TokenBroker::Impl::detectClockStop()
{
    const base::TimePoint steady = m_context.clock.now();
    const base::WallTime wall = m_context.clock.wallNow();
    const base::Duration missing = (wall - m_lastWall) - (steady - m_lastSteady);
    m_lastSteady = steady;
    m_lastWall = wall;
    if (missing <= m_context.settings.clockStopBound) {
        return;
    }
    ++m_context.counters.pauses;
    PAPAYASTEP_LOG(WARNING, "limits") << "Detected that the clock had stopped." << base::field("vm", m_context.self.vm);
    m_context.tenure.restart();
    for (auto &[id, entry] : m_entries) {
        entry.tokens.dropTokens();
        schedule(id, entry);
    }
}

TokenBroker::TokenBroker(const NodeIdentity &self, const base::Clock &clock, BrokerSettings settings)
    : m_impl(std::make_unique<Impl>(self, clock, settings))
{
}

TokenBroker::~TokenBroker() = default;
TokenBroker::TokenBroker(TokenBroker &&) noexcept = default;
TokenBroker &TokenBroker::operator=(TokenBroker &&) noexcept = default;

void TokenBroker::applyConfiguration(config::ConfigurationPtr configuration)
{
    m_impl->applyConfiguration(std::move(configuration));
}

void TokenBroker::applyVmList(const config::VmList &list, base::TimePoint requestedAt)
{
    m_impl->applyVmList(list, requestedAt);
}

Admission TokenBroker::acquire(const base::WorkspaceId &workspace,
                               const base::RequestId &request,
                               base::TimePoint deadline)
{
    return m_impl->acquire(workspace, request, deadline);
}

void TokenBroker::cancelWaiting(const base::RequestId &request)
{
    m_impl->cancelWaiting(request);
}

void TokenBroker::giveBack(const Token &token)
{
    m_impl->giveBack(token);
}

void TokenBroker::receive(const base::VmId &from,
                          base::Incarnation incarnation,
                          wire::MessageKind kind,
                          std::string_view payload)
{
    m_impl->receive(from, incarnation, kind, payload);
}

void TokenBroker::tick()
{
    m_impl->tick();
}

std::optional<base::TimePoint> TokenBroker::nextTick() const
{
    return m_impl->nextTick();
}

void TokenBroker::drain()
{
    m_impl->drain();
}

std::vector<wire::Outgoing> TokenBroker::takeMessages()
{
    return m_impl->takeMessages();
}

std::vector<AdmissionDecision> TokenBroker::takeDecisions()
{
    return m_impl->takeDecisions();
}

bool TokenBroker::isReady() const
{
    return m_impl->isReady();
}

bool TokenBroker::chargesRepeats() const
{
    return true;
}

WorkspaceStatus TokenBroker::status(const base::WorkspaceId &workspace) const
{
    return m_impl->status(workspace);
}

const LimiterCounters &TokenBroker::counters() const
{
    return m_impl->counters();
}

std::size_t TokenBroker::activeWorkspaces() const
{
    return m_impl->activeWorkspaces();
}

}
