#include "papayastep/routing/ledgerclient.h"

#include <algorithm>

namespace papayastep::routing {

namespace {

constexpr base::Duration retryAfterUnreachable = std::chrono::seconds(1);

template<typename Enum>
Enum checked(std::uint8_t value, Enum greatest)
{
    if (value > static_cast<std::uint8_t>(greatest)) {
        throw base::Error(base::ResultCode::MessageMalformed, "the answer to a ledger claim has an invalid value");
    }
    return static_cast<Enum>(value);
}

ClaimAnswer answerOf(const LedgerClaimResult &result)
{
    ClaimAnswer answer;
    answer.verdict = checked(result.verdict, ClaimVerdict::Refuse);
    answer.answer = result.answer;
    answer.refusal.code = static_cast<base::ResultCode>(result.code);
    answer.refusal.outcome = checked(result.outcome, Outcome::Unknown);
    answer.refusal.retryClass = checked(result.retryClass, RetryClass::AfterCheck);
    answer.refusal.retryAfter = base::Duration(result.retryAfter);
    return answer;
}

Refusal notRun(base::ResultCode code, RetryClass retryClass, base::Duration retryAfter = {})
{
    return Refusal{Outcome::NotRun, code, retryClass, retryAfter};
}

}

LedgerClient::LedgerClient(const base::Clock &clock, base::VmId self, LedgerHome &home, LedgerSettings settings)
    : m_clock(clock)
    , m_self(std::move(self))
    , m_home(home)
    , m_settings(settings)
{
}

void LedgerClient::applyConfiguration(config::ConfigurationPtr configuration)
{
    m_configuration = std::move(configuration);
    m_vms.clear();
}

const std::vector<base::VmId> &LedgerClient::vmsOf(const base::ServiceId &service)
{
    const auto [position, isNew] = m_vms.try_emplace(service);
    if (isNew) {
        position->second = m_configuration->vmsOf(service);
    }
    return position->second;
}

std::vector<LedgerDecision> LedgerClient::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

std::vector<base::RequestId> LedgerClient::takeRecorded()
{
    return std::exchange(m_recorded, {});
}

bool LedgerClient::isReporting(const base::RequestId &request) const
{
    const auto found = m_entries.find(request);
    return found != m_entries.end() && found->second.phase == Phase::Reporting;
}

base::Duration LedgerClient::recordTimeout() const
{
    return m_settings.recordTimeout;
}

std::vector<wire::Outgoing> LedgerClient::takeMessages()
{
    return std::exchange(m_messages, {});
}

std::size_t LedgerClient::size() const
{
    return m_entries.size();
}

void LedgerClient::refuse(const base::RequestId &request, const Refusal &refusal)
{
    m_decisions.push_back(LedgerDecision{request, ClaimAnswer{ClaimVerdict::Refuse, {}, refusal}});
}

void LedgerClient::claim(const ClaimRequest &request)
{
    if (!isValidIdempotencyKey(request.key)) {
        return refuse(request.request, notRun(base::ResultCode::IdempotencyKeyInvalid, RetryClass::Never));
    }
    if (!m_configuration) {
        return refuse(request.request,
                      notRun(base::ResultCode::NodeNotReady, RetryClass::WithSameKey, retryAfterUnreachable));
    }
    if (vmsOf(request.service).empty()) {
        return refuse(request.request,
                      notRun(base::ResultCode::NoBackendServer, RetryClass::WithSameKey, retryAfterUnreachable));
    }
    Entry entry;
    entry.claim.request = request.request;
    entry.claim.workspace = request.workspace;
    entry.claim.service = request.service;
    entry.claim.key = keyHash(request.workspace, request.key);
    entry.claim.digest = request.digest;
    entry.claim.keyTime = timeOfKey(request.key).value_or(base::WallTime()).time_since_epoch().count();
    entry.claim.retention = request.retention.count();
    entry.deadline = request.deadline;
    entry.began = m_clock.now();
    const auto [position, isNew] = m_entries.try_emplace(request.request, std::move(entry));
    if (isNew) {
        sendClaim(position->second);
    }
}

/// Sends the claim to the home, and after askNextAfter to the next home too. The next home answers only if the home has
/// handed its records over.
void LedgerClient::sendClaim(Entry &entry)
{
    const auto now = m_clock.now();
    entry.sent = now;
    entry.claim.remaining = (entry.deadline - now).count();
    entry.claim.revision = m_configuration->revision();
    const auto &vms = vmsOf(entry.claim.service);
    const bool asksNext = now - entry.began >= m_settings.askNextAfter;
    for (const auto &vm : {homeOf(entry.claim.key, vms), asksNext ? nextHomeOf(entry.claim.key, vms) : base::VmId()}) {
        if (entry.phase != Phase::Claiming || vm.empty()) {
            continue;
        }
        if (vm != m_self) {
            m_messages.push_back(wire::outgoing(vm, wire::MessageKind::LedgerClaim, entry.claim));
        } else if (const auto answer = m_home.claim(entry.claim)) {
            decide(entry, *answer);
        }
    }
}

/// Adds the decision on a verdict. Entries that need no report are removed by the next tick.
void LedgerClient::decide(Entry &entry, const ClaimAnswer &answer)
{
    const bool isLate = m_clock.now() >= entry.deadline;
    if (answer.verdict == ClaimVerdict::Run && isLate) {
        report(entry.claim.request, RecordState::Released, {});
        return refuse(entry.claim.request,
                      notRun(base::ResultCode::DeadlineExceeded, RetryClass::WithSameKey, retryAfterUnreachable));
    }
    entry.phase = answer.verdict == ClaimVerdict::Run ? Phase::Running : Phase::Settled;
    m_decisions.push_back(LedgerDecision{entry.claim.request, answer});
}

void LedgerClient::completeWithAnswer(const base::RequestId &request, StoredAnswer answer)
{
    const bool fits = answer.bytes() <= m_settings.maxAnswerBytes;
    report(
        request, fits ? RecordState::Answered : RecordState::AnswerDropped, fits ? std::move(answer) : StoredAnswer());
}

void LedgerClient::completeUnknown(const base::RequestId &request)
{
    report(request, RecordState::Unknown, {});
}

void LedgerClient::completeNotRun(const base::RequestId &request)
{
    report(request, RecordState::Released, {});
}

void LedgerClient::abandon(const base::RequestId &request)
{
    const auto found = m_entries.find(request);
    if (found != m_entries.end() && found->second.phase == Phase::Claiming) {
        report(request, RecordState::Released, {});
    }
}

void LedgerClient::report(const base::RequestId &request, RecordState state, StoredAnswer answer)
{
    const auto found = m_entries.find(request);
    if (found == m_entries.end()) {
        return;
    }
    Entry &entry = found->second;
    const bool isOpen = entry.phase == Phase::Claiming || entry.phase == Phase::Running;
    if (!isOpen) {
        return;
    }
    entry.phase = Phase::Reporting;
    entry.began = m_clock.now();
    entry.report.key = entry.claim.key;
    entry.report.workspace = entry.claim.workspace;
    entry.report.service = entry.claim.service;
    entry.report.request = request;
    entry.report.digest = entry.claim.digest;
    entry.report.state = static_cast<std::uint8_t>(state);
    entry.report.retention = entry.claim.retention;
    entry.report.answer = std::move(answer);
    sendReport(entry);
}

void LedgerClient::sendReport(Entry &entry)
{
    const auto now = m_clock.now();
    const bool released = entry.report.state == static_cast<std::uint8_t>(RecordState::Released);
    const base::Duration untilDeadline = std::max(entry.deadline - now, base::Duration::zero());
    entry.sent = now;
    entry.report.remaining = released ? untilDeadline.count() : entry.report.retention;
    const LedgerComplete message{entry.report, m_configuration->revision()};
    const auto &vms = vmsOf(entry.claim.service);
    const bool asksNext = now - entry.began >= m_settings.askNextAfter;
    for (const auto &vm : {homeOf(entry.claim.key, vms), asksNext ? nextHomeOf(entry.claim.key, vms) : base::VmId()}) {
        if (vm.empty()) {
            continue;
        }
        if (vm != m_self) {
            m_messages.push_back(wire::outgoing(vm, wire::MessageKind::LedgerComplete, message));
        } else if (m_home.complete(message)) {
            entry.phase = Phase::Settled;
            m_recorded.push_back(entry.claim.request);
        }
    }
}

void LedgerClient::receive(const base::VmId &, wire::MessageKind kind, std::string_view payload)
{
    if (kind == wire::MessageKind::LedgerClaimResult) {
        const auto result = wire::decode<LedgerClaimResult>(payload);
        const auto found = m_entries.find(result.request);
        if (found != m_entries.end() && found->second.phase == Phase::Claiming) {
            decide(found->second, answerOf(result));
        }
        return;
    }
    if (kind == wire::MessageKind::LedgerCompleteResult) {
        const auto result = wire::decode<LedgerCompleteResult>(payload);
        const auto found = m_entries.find(result.request);
        if (found != m_entries.end() && found->second.phase == Phase::Reporting) {
            m_entries.erase(found);
            m_recorded.push_back(result.request);
        }
        return;
    }
    throw base::Error(base::ResultCode::MessageUnknownKind, "the message kind is not for the entry side of a ledger");
}

void LedgerClient::tick()
{
    const auto now = m_clock.now();
    for (auto &[request, entry] : m_entries) {
        const bool isDue = now - entry.sent >= m_settings.resendEvery;
        if (entry.phase == Phase::Claiming) {
            const bool isOver = now >= entry.deadline || now - entry.began >= m_settings.claimTimeout;
            if (isOver) {
                giveUp(entry);
            } else if (isDue) {
                sendClaim(entry);
            }
        } else if (entry.phase == Phase::Reporting && isDue) {
            sendReport(entry);
        }
    }
    std::erase_if(m_entries, [&](const auto &entry) { return isRemovable(entry.second); });
}

/// Abandons a claim and refuses its request. The home's verdict may still arrive, but decide() is no longer called for
/// it, so the request never runs.
void LedgerClient::giveUp(Entry &entry)
{
    const bool isLate = m_clock.now() >= entry.deadline;
    const auto code = isLate ? base::ResultCode::DeadlineExceeded : base::ResultCode::IdempotencyHomeUnreachable;
    report(entry.claim.request, RecordState::Released, {});
    refuse(entry.claim.request, notRun(code, RetryClass::WithSameKey, retryAfterUnreachable));
}

bool LedgerClient::isRemovable(const Entry &entry) const
{
    const auto now = m_clock.now();
    switch (entry.phase) {
    case Phase::Claiming:
        return false;
    case Phase::Running:
        // The end of the run was never reported, which is a fault of the node. By now the home has long recorded the
        // outcome as unknown.
        return now - entry.deadline >= m_settings.completeTimeout;
    case Phase::Reporting:
        return now - entry.began >= m_settings.completeTimeout;
    case Phase::Settled:
        break;
    }
    return true;
}

base::TimePoint LedgerClient::nextTick() const
{
    const base::Duration idle = std::chrono::seconds(1);
    return m_clock.now() + (m_entries.empty() ? idle : m_settings.resendEvery);
}

}
