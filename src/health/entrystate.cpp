#include "entrystate.h"

#include <algorithm>

namespace papayastep::health {

namespace {

const base::Duration reportLifetime = std::chrono::seconds(10);
const base::Duration idleLifetime = std::chrono::minutes(2);

std::optional<bool> reachedBy(HopOutcome outcome)
{
    switch (outcome) {
    case HopOutcome::Answered:
    case HopOutcome::ServerFailed:
    case HopOutcome::Refused:
        return true;
    case HopOutcome::ConnectionFailed:
    case HopOutcome::GivenUp:
        return false;
    case HopOutcome::CancelledByUs:
        break;
    }
    return std::nullopt;
}

}

EntryState::EntryState(const HealthSettings &settings)
    : m_settings(settings)
{
}

void EntryState::hopSent(const base::VmId &vm,
                         const base::BackendServerId &server,
                         const AttemptKey &key,
                         base::TimePoint now)
{
    m_paths.try_emplace(vm, m_settings).first->second.sent(key, now);
    m_servers.try_emplace(server, m_settings).first->second.sent(key, now);
    m_serverOfHop[key] = server;
}

void EntryState::hopAcknowledged(const base::VmId &vm, const AttemptKey &key, base::TimePoint now)
{
    if (const auto path = m_paths.find(vm); path != m_paths.end()) {
        path->second.acknowledged(key, now);
    }
    if (const auto hop = m_serverOfHop.find(key); hop != m_serverOfHop.end()) {
        m_servers.at(hop->second).acknowledged(key, now);
    }
}

void EntryState::hopEnded(
    const base::VmId &vm, const AttemptKey &key, HopOutcome outcome, base::Duration latency, base::TimePoint now)
{
    if (const auto path = m_paths.find(vm); path != m_paths.end()) {
        path->second.ended(key, reachedBy(outcome), now);
    }
    const auto hop = m_serverOfHop.find(key);
    if (hop == m_serverOfHop.end()) {
        return;
    }
    m_servers.at(hop->second).ended(key, outcome, latency, now);
    m_serverOfHop.erase(hop);
}

void EntryState::invalidate()
{
    for (auto &[vm, path] : m_paths) {
        path.invalidateInFlight();
    }
    for (auto &[id, server] : m_servers) {
        server.invalidateInFlight();
    }
    m_serverOfHop.clear();
    m_ejectionReports.clear();
}

bool EntryState::recordEjected(const base::ServiceId &service,
                               const base::VmId &from,
                               std::uint64_t version,
                               const std::vector<std::uint32_t> &ejected,
                               base::TimePoint now)
{
    EjectionReport &report = m_ejectionReports[service][from];
    if (version < report.version && now - report.receivedAt < reportLifetime) {
        return false;
    }
    const bool changed = report.ejected != ejected;
    report = EjectionReport{version, ejected, now};
    return changed;
}

std::optional<base::TimePoint> EntryState::reportedEjected(const base::ServiceId &service,
                                                           const base::VmId &vm,
                                                           std::uint32_t server,
                                                           base::TimePoint now) const
{
    const auto found = m_ejectionReports.find(service);
    if (found == m_ejectionReports.end()) {
        return std::nullopt;
    }
    std::size_t reporters = 0;
    std::size_t ejectedReports = 0;
    base::TimePoint latest;
    for (const auto &[reporter, report] : found->second) {
        if (reporter == vm || now - report.receivedAt > reportLifetime) {
            continue;
        }
        ++reporters;
        if (std::find(report.ejected.begin(), report.ejected.end(), server) != report.ejected.end()) {
            ++ejectedReports;
            latest = std::max(latest, report.receivedAt);
        }
    }
    return ejectedReports > 0 && 2 * ejectedReports >= reporters ? std::optional(latest) : std::nullopt;
}

std::unordered_map<base::BackendServerId, EntryEvidence> &EntryState::servers()
{
    return m_servers;
}

std::map<base::VmId, PathEvidence> &EntryState::paths()
{
    return m_paths;
}

const EntryEvidence *EntryState::server(const base::BackendServerId &id) const
{
    const auto found = m_servers.find(id);
    return found != m_servers.end() ? &found->second : nullptr;
}

const PathEvidence *EntryState::path(const base::VmId &vm) const
{
    const auto found = m_paths.find(vm);
    return found != m_paths.end() ? &found->second : nullptr;
}

void EntryState::expire(base::TimePoint now)
{
    const base::TimePoint limit = now - idleLifetime;
    std::erase_if(m_paths, [&](const auto &entry) { return entry.second.idleSince(limit); });
    std::erase_if(m_servers, [&](const auto &entry) { return entry.second.idleSince(limit); });
    std::erase_if(m_serverOfHop, [&](const auto &entry) { return !m_servers.contains(entry.second); });
    for (auto &[service, reporters] : m_ejectionReports) {
        std::erase_if(reporters, [&](const auto &entry) { return entry.second.receivedAt < limit; });
    }
    std::erase_if(m_ejectionReports, [](const auto &entry) { return entry.second.empty(); });
}

}
