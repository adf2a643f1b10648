#include "papayastep/routing/attemptregistry.h"

#include <algorithm>

namespace papayastep::routing {

namespace {

constexpr base::Duration guard = std::chrono::seconds(1);
constexpr std::int64_t guardDivisor = 100; ///< Adds one part in a hundred, far more than any clock drifts.
constexpr base::Duration longestMemory = std::chrono::hours(1); ///< Limit in case of an absurd `remaining`.

}

std::size_t AttemptIdHash::operator()(const AttemptId &id) const noexcept
{
    return std::hash<base::RequestId>()(id.request) ^ (static_cast<std::size_t>(id.attempt) * 0x9e3779b97f4a7c15ull);
}

std::string_view name(CancelAnswer answer)
{
    switch (answer) {
    case CancelAnswer::NeverStarted:
        return "never-started";
    case CancelAnswer::Started:
        return "started";
    case CancelAnswer::Done:
        return "done";
    case CancelAnswer::HandedOver:
        return "handed-over";
    case CancelAnswer::Unconfirmed:
        return "no-promise";
    }
    return "no-promise";
}

AttemptRegistry::AttemptRegistry(const base::Clock &clock, AttemptRegistrySettings settings)
    : m_clock(clock)
    , m_settings(settings)
    , m_delay(clock)
{
}

void AttemptRegistry::remember(const AttemptId &id, State state, base::TimePoint deadline)
{
    const auto now = m_clock.now();
    const base::Duration remaining = std::max(deadline - now, base::Duration::zero());
    m_entries.insert_or_assign(id, Entry{state, deadline});
    m_expiry.push(Expiry{deadline + remaining / guardDivisor + guard, id});
}

AttemptRegistration AttemptRegistry::registerAttempt(const AttemptId &id,
                                                     const SentStamp &stamp,
                                                     base::Duration remaining)
{
    tick();
    const base::Duration delay = m_delay.observe(stamp);
    const auto now = m_clock.now();
    const base::TimePoint deadline = now + std::min(remaining, longestMemory) - delay;
    const auto known = m_entries.find(id);
    if (known != m_entries.end()) {
        const bool cancelled = known->second.state == State::NeverStarts;
        return AttemptRegistration{cancelled ? RegistrationResult::Cancelled : RegistrationResult::Replayed, deadline};
    }
    if (deadline <= now) {
        return AttemptRegistration{RegistrationResult::TooLate, deadline};
    }
    if (m_entries.size() + m_settings.cancelReserve >= m_settings.capacity) {
        return AttemptRegistration{RegistrationResult::Full, deadline};
    }
    remember(id, State::Queued, deadline);
    return AttemptRegistration{RegistrationResult::Accepted, deadline};
}

bool AttemptRegistry::start(const AttemptId &id)
{
    const auto known = m_entries.find(id);
    if (known == m_entries.end() || known->second.state != State::Queued) {
        return false;
    }
    if (m_clock.now() >= known->second.deadline) {
        known->second.state = State::NeverStarts;
        return false;
    }
    known->second.state = State::Started;
    return true;
}

void AttemptRegistry::drop(const AttemptId &id)
{
    const auto known = m_entries.find(id);
    if (known == m_entries.end()) {
        return;
    }
    if (known->second.state == State::Queued || known->second.state == State::HandedOver) {
        known->second.state = State::NeverStarts;
    }
}

bool AttemptRegistry::handOver(const AttemptId &id)
{
    const auto known = m_entries.find(id);
    if (known == m_entries.end() || known->second.state != State::Queued) {
        return false;
    }
    known->second.state = State::HandedOver;
    return true;
}

void AttemptRegistry::finish(const AttemptId &id)
{
    const auto known = m_entries.find(id);
    if (known != m_entries.end() && known->second.state == State::Started) {
        known->second.state = State::Done;
    }
}

CancelAnswer AttemptRegistry::cancel(const AttemptId &id, const SentStamp &stamp, base::Duration remaining)
{
    tick();
    m_delay.observe(stamp);
    const auto known = m_entries.find(id);
    if (known == m_entries.end()) {
        if (m_entries.size() >= m_settings.capacity) {
            return CancelAnswer::Unconfirmed;
        }
        // The delay of the cancel is not subtracted here: to keep the record for longer does no harm.
        const base::Duration bounded = std::clamp(remaining, base::Duration::zero(), longestMemory);
        remember(id, State::NeverStarts, m_clock.now() + bounded);
        return CancelAnswer::NeverStarted;
    }
    switch (known->second.state) {
    case State::Queued:
        known->second.state = State::NeverStarts;
        return CancelAnswer::NeverStarted;
    case State::NeverStarts:
        return CancelAnswer::NeverStarted;
    case State::Started:
        return CancelAnswer::Started;
    case State::Done:
        return CancelAnswer::Done;
    case State::HandedOver:
        return CancelAnswer::HandedOver;
    }
    return CancelAnswer::Unconfirmed;
}

void AttemptRegistry::tick()
{
    const auto now = m_clock.now();
    while (!m_expiry.empty() && m_expiry.top().at <= now) {
        m_entries.erase(m_expiry.top().id);
        m_expiry.pop();
    }
    m_delay.tick();
}

std::size_t AttemptRegistry::size() const
{
    return m_entries.size();
}

}
