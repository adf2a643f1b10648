#include "papayastep/membership/serverdirectory.h"

#include "papayastep/base/log.h"

#include <algorithm>
#include <set>

namespace papayastep::membership {

namespace {

constexpr std::string_view logPrefix = "membership";

/// Returns whether `a` used an address later than `b` for certain.
bool isYounger(const config::BackendServer &a, const config::BackendServer &b)
{
    return a.incarnation > b.incarnation;
}

/// Returns whether the entries differ by no more than the delays of two reports of the same cold start. A cold server
/// reports its remaining time whenever it renews its entry, which must not rebuild the configuration of every node.
bool isSameReport(const config::BackendServer &a, const config::BackendServer &b, base::TimePoint now)
{
    constexpr base::Duration tolerance = std::chrono::milliseconds(500);
    const bool areBothWarm = a.coldUntil <= now && b.coldUntil <= now;
    const base::Duration difference = std::max(a.coldUntil, b.coldUntil) - std::min(a.coldUntil, b.coldUntil);
    config::BackendServer sameCold = a;
    sameCold.coldUntil = b.coldUntil;
    return sameCold == b && (areBothWarm || difference <= tolerance);
}

}

ServerDirectory::ServerDirectory(const base::Clock &clock, ServerDirectorySettings settings)
    : m_clock(clock)
    , m_settings(settings)
{
}

bool ServerDirectory::apply(const ServerUpdate &update)
{
    return apply(update, m_clock.now());
}

bool ServerDirectory::apply(const ServerUpdate &update, base::TimePoint answeredAt)
{
    m_answeredAt = std::max(m_answeredAt.value_or(answeredAt), answeredAt);
    if (m_unreachable && answeredAt >= m_failedAt) {
        m_unreachable = false;
        m_returnedAt = answeredAt;
        PAPAYASTEP_LOG(INFO, logPrefix) << "The directory of backend servers answers again."
                                        << base::field("version", update.version);
    }
    if (m_hasCompleteList && update.version < m_version) {
        // An answer that was on its way while a newer update from a reader arrived. It would undo the changes since,
        // and remove servers that have registered since, for good: no later update names them again.
        return false;
    }
    bool changed = false;
    for (const config::BackendServer &server : update.changed) {
        changed = put(server) || changed;
    }
    if (update.isComplete) {
        std::set<base::BackendServerId> listed;
        for (const config::BackendServer &server : update.changed) {
            listed.insert(server.id);
        }
        for (auto entry = m_entries.begin(); entry != m_entries.end();) {
            const auto current = entry++;
            if (!listed.contains(current->first)) {
                changed = remove(current) || changed;
            }
        }
        m_hasCompleteList = true;
    }
    for (const base::BackendServerId &id : update.removed) {
        const auto entry = m_entries.find(id);
        if (entry != m_entries.end()) {
            changed = remove(entry) || changed;
        }
    }
    changed = applyEvacuations(update) || changed;
    m_version = std::max(m_version, update.version);
    return changed;
}

void ServerDirectory::noteUnreachable()
{
    if (!m_unreachable) {
        PAPAYASTEP_LOG(WARNING, logPrefix)
            << "The directory of backend servers does not answer; keeping the last known entries."
            << base::field("version", m_version) << base::field("servers", m_entries.size());
    }
    m_unreachable = true;
    m_failedAt = m_clock.now();
}

bool ServerDirectory::tick()
{
    if (!anyMissing() || m_unreachable || isInOutageGracePeriod()) {
        return false;
    }
    m_missingCount = 0;
    return std::erase_if(m_entries,
                         [](const auto &entry) {
                             if (entry.second.missing) {
                                 PAPAYASTEP_LOG(INFO, logPrefix)
                                     << "A backend server did not come back." << base::field("server", entry.first);
                             }
                             return entry.second.missing;
                         })
        > 0;
}

std::optional<base::TimePoint> ServerDirectory::nextTick() const
{
    if (!anyMissing() || m_unreachable || !m_returnedAt) {
        return std::nullopt;
    }
    return *m_returnedAt + m_settings.outageGracePeriod;
}

bool ServerDirectory::anyMissing() const
{
    return m_missingCount > 0;
}

bool ServerDirectory::hasCompleteList() const
{
    return m_hasCompleteList;
}

std::uint64_t ServerDirectory::version() const
{
    return m_version;
}

std::optional<base::Duration> ServerDirectory::timeSinceAnswer() const
{
    return m_answeredAt ? std::optional(m_clock.now() - *m_answeredAt) : std::nullopt;
}

std::vector<config::BackendServer> ServerDirectory::servers() const
{
    std::map<std::pair<std::string, std::uint16_t>, const config::BackendServer *> byAddress;
    for (const auto &[id, entry] : m_entries) {
        auto &owner = byAddress[{entry.server.address, entry.server.port}];
        if (owner == nullptr || isYounger(entry.server, *owner)) {
            owner = &entry.server;
        }
    }
    std::vector<config::BackendServer> servers;
    servers.reserve(byAddress.size());
    for (const auto &[address, server] : byAddress) {
        servers.push_back(*server);
        servers.back().evacuated = m_evacuated.contains(server->zone);
    }
    std::sort(servers.begin(), servers.end(), [](const auto &a, const auto &b) { return a.id < b.id; });
    return servers;
}

const std::set<base::ZoneId> &ServerDirectory::evacuatedZones() const
{
    return m_evacuated;
}

bool ServerDirectory::isInOutageGracePeriod() const
{
    return m_returnedAt && m_clock.now() < *m_returnedAt + m_settings.outageGracePeriod;
}

bool ServerDirectory::put(const config::BackendServer &server)
{
    auto &entry = m_entries[server.id];
    const bool isKnown = isSameReport(entry.server, server, m_clock.now());
    const bool isSame = !entry.missing && isKnown;
    if (!isKnown) {
        PAPAYASTEP_LOG(INFO, logPrefix) << "A backend server registered or changed." << base::field("server", server.id)
                                        << base::field("service", server.service) << base::field("vm", server.vm)
                                        << base::field("slots", server.slots) << base::field("drain", server.drain);
    }
    m_missingCount -= entry.missing ? 1 : 0;
    entry = Entry{server, false};
    return !isSame;
}

bool ServerDirectory::remove(Entries::iterator entry)
{
    if (isInOutageGracePeriod()) {
        const auto left = *m_returnedAt + m_settings.outageGracePeriod - m_clock.now();
        PAPAYASTEP_LOG(INFO, logPrefix)
            << "Keeping a backend server that is missing after an outage." << base::field("server", entry->first)
            << base::field("forMs", std::chrono::duration_cast<std::chrono::milliseconds>(left).count());
        m_missingCount += entry->second.missing ? 0 : 1;
        entry->second.missing = true;
        return false;
    }
    PAPAYASTEP_LOG(INFO, logPrefix) << "A backend server is gone." << base::field("server", entry->first);
    m_missingCount -= entry->second.missing ? 1 : 0;
    m_entries.erase(entry);
    return true;
}

bool ServerDirectory::applyEvacuations(const ServerUpdate &update)
{
    bool changed = false;
    for (const base::ZoneId &zone : update.evacuated) {
        changed = evacuate(zone) || changed;
    }
    for (const base::ZoneId &zone : update.restored) {
        changed = restore(zone) || changed;
    }
    if (update.isComplete) {
        const std::set<base::ZoneId> listed(update.evacuated.begin(), update.evacuated.end());
        const std::set<base::ZoneId> before = m_evacuated;
        for (const base::ZoneId &zone : before) {
            changed = (!listed.contains(zone) && restore(zone)) || changed;
        }
    }
    return changed;
}

bool ServerDirectory::evacuate(const base::ZoneId &zone)
{
    if (!m_evacuated.insert(zone).second) {
        return false;
    }
    PAPAYASTEP_LOG(WARNING, logPrefix) << "Operators evacuate an availability zone." << base::field("zone", zone);
    return true;
}

bool ServerDirectory::restore(const base::ZoneId &zone)
{
    if (m_evacuated.erase(zone) == 0) {
        return false;
    }
    PAPAYASTEP_LOG(WARNING, logPrefix) << "The evacuation of an availability zone has ended."
                                       << base::field("zone", zone);
    return true;
}

}
