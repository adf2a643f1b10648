#include "papayastep/membership/vmlistbuilder.h"

#include <algorithm>

namespace papayastep::membership {

VmListBuilder::VmListBuilder(const base::Clock &clock,
                             config::VmEntry self,
                             FleetPorts ports,
                             VmListBuilderSettings settings)
    : m_clock(clock)
    , m_self(std::move(self))
    , m_ports(ports)
    , m_settings(settings)
{
}

config::VmList VmListBuilder::update(std::uint64_t version, const std::vector<config::BackendServer> &servers)
{
    const base::TimePoint now = m_clock.now();
    for (auto &[id, known] : m_knownVms) {
        known.entry.retained = true;
    }
    m_knownVms[m_self.id] = KnownVm{m_self, now};
    m_knownVms[m_self.id].entry.retained = true;
    for (const config::BackendServer &server : servers) {
        if (server.vm == m_self.id) {
            m_knownVms[m_self.id].entry.retained = false;
            continue;
        }
        config::VmEntry entry;
        entry.id = server.vm;
        entry.zone = server.zone;
        entry.address = server.address;
        entry.callerPort = m_ports.caller;
        entry.hopPort = m_ports.hop;
        entry.peerPort = m_ports.peer;
        entry.adminPort = m_ports.admin;
        m_knownVms[server.vm] = KnownVm{std::move(entry), now};
    }
    std::erase_if(m_knownVms,
                  [&](const auto &known) { return now - known.second.seenAt >= m_settings.retentionWithoutServer; });
    config::VmList list;
    list.version = version;
    for (const auto &[id, known] : m_knownVms) {
        list.vms.push_back(known.entry);
    }
    return list;
}

std::optional<base::TimePoint> VmListBuilder::nextExpiry() const
{
    std::optional<base::TimePoint> next;
    for (const auto &[id, known] : m_knownVms) {
        if (known.entry.retained && id != m_self.id) {
            const base::TimePoint due = known.seenAt + m_settings.retentionWithoutServer;
            next = std::min(next.value_or(due), due);
        }
    }
    return next;
}

}
