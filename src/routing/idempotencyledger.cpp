#include "papayastep/routing/idempotencyledger.h"

#include <algorithm>

namespace papayastep::routing {

namespace {

/// Bytes of a node of the map in addition to its value.
constexpr std::size_t nodeOverhead = 48;
/// Number of records examined in one tick. It limits the time of a tick, and a full ledger is swept within a minute.
constexpr std::size_t sweptAtOnce = 2000;

std::int64_t nanoseconds(base::Duration duration)
{
    return duration.count();
}

/// Clamps a duration from a message. Without the limit a faulty node could make its sum with the present time overflow,
/// and a record would appear expired at once.
base::Duration bounded(std::int64_t nanoseconds)
{
    constexpr base::Duration longest = std::chrono::hours(24 * 366);
    return std::clamp(base::Duration(nanoseconds), -longest, longest);
}

/// Ranks record states by how much information they hold on whether the key has run.
int rankOf(RecordState state)
{
    switch (state) {
    case RecordState::Released:
        return 0;
    case RecordState::Running:
        return 1;
    case RecordState::Unknown:
        return 2;
    case RecordState::AnswerDropped:
        return 3;
    case RecordState::Answered:
        return 4;
    }
    return 0;
}

ClaimAnswer refused(Outcome outcome, base::ResultCode code, RetryClass retryClass, base::Duration retryAfter = {})
{
    return ClaimAnswer{ClaimVerdict::Refuse, {}, Refusal{outcome, code, retryClass, retryAfter}};
}

RecordState checkedState(std::uint8_t state)
{
    if (state > static_cast<std::uint8_t>(RecordState::Released)) {
        throw base::Error(base::ResultCode::MessageMalformed, "a ledger record has an invalid state");
    }
    return static_cast<RecordState>(state);
}

}

std::size_t StoredAnswer::bytes() const
{
    std::size_t sum = sizeof(StoredAnswer) + body.size();
    for (const auto &[name, value] : headers) {
        sum += sizeof(headers[0]) + name.size() + value.size();
    }
    return sum;
}

IdempotencyLedger::IdempotencyLedger(const base::Clock &clock, LedgerSettings settings)
    : m_clock(clock)
    , m_settings(settings)
{
}

std::size_t IdempotencyLedger::bytesOf(const Record &record)
{
    const std::size_t fixed = sizeof(RecordMap::value_type) + nodeOverhead;
    return fixed + (record.answer ? record.answer->bytes() : 0);
}

RecordState IdempotencyLedger::stateOf(const Record &record) const
{
    const bool isLate = m_clock.now() > record.until + m_settings.unknownAfter;
    return record.state == RecordState::Running && isLate ? RecordState::Unknown : record.state;
}

base::TimePoint IdempotencyLedger::expiryOf(const Record &record) const
{
    switch (record.state) {
    case RecordState::Running:
        return record.until + m_settings.unknownAfter + record.retention;
    case RecordState::Released:
        return record.until + m_settings.unknownAfter;
    case RecordState::Answered:
    case RecordState::AnswerDropped:
    case RecordState::Unknown:
        break;
    }
    return record.until;
}

bool IdempotencyLedger::isExpired(const Record &record) const
{
    return m_clock.now() >= expiryOf(record);
}

bool IdempotencyLedger::hasRoom(const base::WorkspaceId &workspace, std::size_t bytes) const
{
    const std::size_t used = bytesOf(workspace);
    return m_bytes + bytes <= m_settings.maxBytes && used + bytes <= m_settings.maxBytesOfWorkspace;
}

std::optional<ClaimAnswer> IdempotencyLedger::lookUp(const LedgerClaim &claim) const
{
    const auto found = m_records.find(claim.key);
    if (found == m_records.end() || isExpired(found->second)) {
        return std::nullopt;
    }
    const Record &record = found->second;
    const RecordState state = stateOf(record);
    const bool sameRequest = record.request == claim.request;
    if (state == RecordState::Released) {
        // The entry abandoned this claim, so a late copy of it must not take the key.
        return sameRequest
            ? std::optional(refused(Outcome::NotRun, base::ResultCode::HopCancelled, RetryClass::WithSameKey))
            : std::nullopt;
    }
    if (record.digest != claim.digest) {
        return refused(Outcome::NotRun, base::ResultCode::IdempotencyKeyReused, RetryClass::Never);
    }
    switch (state) {
    case RecordState::Running: {
        if (sameRequest) {
            return ClaimAnswer{ClaimVerdict::Run, {}, {}};
        }
        const base::Duration wait = std::max(record.until - m_clock.now(), base::Duration::zero());
        return refused(Outcome::Unknown,
                       base::ResultCode::IdempotencyRunning,
                       RetryClass::WithSameKey,
                       wait + m_settings.unknownAfter);
    }
    case RecordState::Answered:
        return ClaimAnswer{ClaimVerdict::Answer, *record.answer, {}};
    case RecordState::AnswerDropped:
        return refused(Outcome::Unknown, base::ResultCode::AnswerTooLarge, RetryClass::AfterCheck);
    case RecordState::Unknown:
    case RecordState::Released:
        break;
    }
    return refused(Outcome::Unknown, base::ResultCode::OutcomeUnknown, RetryClass::AfterCheck);
}

ClaimAnswer IdempotencyLedger::grant(const LedgerClaim &claim)
{
    const auto known = m_records.find(claim.key);
    if (known != m_records.end()) {
        // The record is expired or released, since lookUp() returned nothing.
        erase(known);
    }
    const std::size_t needed = sizeof(RecordMap::value_type) + nodeOverhead;
    if (!hasRoom(claim.workspace, needed)) {
        sweep(sweptAtOnce);
    }
    if (!hasRoom(claim.workspace, needed)) {
        return refused(Outcome::NotRun,
                       base::ResultCode::IdempotencyLedgerFull,
                       RetryClass::WithSameKey,
                       std::chrono::seconds(10));
    }
    LedgerRecord record;
    record.key = claim.key;
    record.workspace = claim.workspace;
    record.service = claim.service;
    record.request = claim.request;
    record.digest = claim.digest;
    record.state = static_cast<std::uint8_t>(RecordState::Running);
    record.remaining = claim.remaining;
    record.retention = claim.retention;
    put(record);
    return ClaimAnswer{ClaimVerdict::Run, {}, {}};
}

IdempotencyLedger::Record &IdempotencyLedger::put(const LedgerRecord &from)
{
    const auto use = m_usage.try_emplace(from.workspace).first;
    Record &record = m_records[from.key];
    record.request = from.request;
    record.digest = from.digest;
    record.state = checkedState(from.state);
    record.until = m_clock.now() + bounded(from.remaining);
    record.retention = bounded(from.retention);
    record.workspace = &*use;
    record.service = &*m_services.insert(from.service).first;
    const std::size_t bytes = bytesOf(record);
    m_bytes += bytes;
    use->second.bytes += bytes;
    ++use->second.records;
    if (record.state == RecordState::Answered) {
        setAnswer(record, from);
    }
    return record;
}

void IdempotencyLedger::setAnswer(Record &record, const LedgerRecord &report)
{
    const std::size_t bytes = report.answer.bytes();
    record.state = RecordState::AnswerDropped;
    if (bytes > m_settings.maxAnswerBytes) {
        return;
    }
    if (!hasRoom(record.workspace->first, bytes)) {
        return;
    }
    record.state = RecordState::Answered;
    record.answer = std::make_unique<StoredAnswer>(report.answer);
    m_bytes += bytes;
    record.workspace->second.bytes += bytes;
}

IdempotencyLedger::RecordMap::iterator IdempotencyLedger::erase(RecordMap::iterator position)
{
    const std::size_t bytes = bytesOf(position->second);
    UsageMap::value_type &use = *position->second.workspace;
    m_bytes -= bytes;
    use.second.bytes -= bytes;
    if (--use.second.records == 0) {
        m_usage.erase(base::WorkspaceId(use.first));
    }
    return m_records.erase(position);
}

bool IdempotencyLedger::complete(const LedgerRecord &report)
{
    const RecordState state = checkedState(report.state);
    const auto known = m_records.find(report.key);
    if (known == m_records.end() || isExpired(known->second)) {
        return merge(report);
    }
    Record &record = known->second;
    if (record.request != report.request && record.state == RecordState::Released) {
        // The recorded request was abandoned, and its record holds nothing on this one, which another home granted.
        return merge(report);
    }
    if (record.request != report.request || record.state == RecordState::Answered) {
        return true;
    }
    if (state == RecordState::Running) {
        return true;
    }
    if (state == RecordState::Released) {
        // `until` is kept, so that a late copy of the claim is refused until the request's deadline.
        record.state = RecordState::Released;
        return true;
    }
    record.state = state;
    record.until = m_clock.now() + record.retention;
    if (state == RecordState::Answered) {
        setAnswer(record, report);
    }
    return true;
}

bool IdempotencyLedger::merge(const LedgerRecord &record)
{
    const RecordState state = checkedState(record.state);
    const auto known = m_records.find(record.key);
    if (known != m_records.end() && !isExpired(known->second)) {
        const bool sameRequest = known->second.request == record.request;
        const bool freed
            = sameRequest && state == RecordState::Released && stateOf(known->second) == RecordState::Running;
        const bool stale = sameRequest && known->second.state == RecordState::Released;
        if (stale || (!freed && rankOf(state) <= rankOf(stateOf(known->second)))) {
            return true;
        }
    }
    if (known != m_records.end()) {
        erase(known);
    }
    if (!hasRoom(record.workspace, sizeof(RecordMap::value_type) + nodeOverhead)) {
        sweep(sweptAtOnce);
        if (!hasRoom(record.workspace, sizeof(RecordMap::value_type) + nodeOverhead)) {
            return false;
        }
    }
    put(record);
    return true;
}

LedgerRecord IdempotencyLedger::exported(const KeyHash &key, const Record &record) const
{
    LedgerRecord result;
    result.key = key;
    result.workspace = record.workspace->first;
    result.service = *record.service;
    result.request = record.request;
    result.digest = record.digest;
    result.state = static_cast<std::uint8_t>(record.state);
    result.remaining = nanoseconds(record.until - m_clock.now());
    result.retention = nanoseconds(record.retention);
    if (record.answer) {
        result.answer = *record.answer;
    }
    return result;
}

std::vector<LedgerRecord> IdempotencyLedger::page(
    const KeyHash &after, const std::function<bool(const KeyHash &, const base::ServiceId &)> &wanted, bool &last) const
{
    std::vector<LedgerRecord> records;
    std::size_t bytes = 0;
    last = true;
    const bool fromStart = after == KeyHash();
    for (auto i = fromStart ? m_records.begin() : m_records.upper_bound(after); i != m_records.end(); ++i) {
        if (isExpired(i->second) || !wanted(i->first, *i->second.service)) {
            continue;
        }
        if (bytes >= m_settings.maxPartBytes) {
            last = false;
            break;
        }
        records.push_back(exported(i->first, i->second));
        bytes += bytesOf(i->second);
    }
    return records;
}

std::optional<LedgerRecord> IdempotencyLedger::record(const KeyHash &key) const
{
    const auto found = m_records.find(key);
    if (found == m_records.end() || isExpired(found->second)) {
        return std::nullopt;
    }
    return exported(key, found->second);
}

bool IdempotencyLedger::contains(const KeyHash &key) const
{
    const auto found = m_records.find(key);
    return found != m_records.end() && !isExpired(found->second);
}

void IdempotencyLedger::tick()
{
    sweep(sweptAtOnce);
}

void IdempotencyLedger::sweep(std::size_t count)
{
    auto position = m_records.upper_bound(m_sweptTo);
    for (std::size_t i = 0; i < count && !m_records.empty(); ++i) {
        if (position == m_records.end()) {
            position = m_records.begin();
        }
        m_sweptTo = position->first;
        position = isExpired(position->second) ? erase(position) : std::next(position);
    }
}

std::size_t IdempotencyLedger::size() const
{
    return m_records.size();
}

std::size_t IdempotencyLedger::bytes() const
{
    return m_bytes;
}

std::size_t IdempotencyLedger::bytesOf(const base::WorkspaceId &workspace) const
{
    const auto use = m_usage.find(workspace);
    return use == m_usage.end() ? 0 : use->second.bytes;
}

}
