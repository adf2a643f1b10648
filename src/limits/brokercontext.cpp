#include "brokercontext.h"

#include <algorithm>
#include <cmath>

namespace papayastep::limits {

namespace {

constexpr base::Duration suspicionTime = std::chrono::seconds(1);
constexpr std::chrono::duration<double> changeRetention = std::chrono::hours(24);

}

BrokerContext::BrokerContext(const NodeIdentity &who, const base::Clock &time, const BrokerSettings &times)
    : self(who)
    , clock(time)
    , settings(times)
    , tenure(self, clock, settings)
{
}

bool BrokerContext::applyConfiguration(config::ConfigurationPtr newer)
{
    if (configuration && newer->revision() <= configuration->revision()) {
        return false;
    }
    const ShareMap oldShares = std::exchange(shares, ShareMap(*newer));
    const config::ConfigurationPtr before = std::exchange(configuration, std::move(newer));
    if (before) {
        recordChanges(*before, *configuration, oldShares);
    }
    ++m_topology;
    return true;
}

bool BrokerContext::applyVmList(const config::VmList &newer, base::TimePoint requestedAt)
{
    if (newer.version < list.version) {
        return false;
    }
    tenure.applyList(newer, requestedAt);
    if (newer.version == list.version) {
        return false;
    }
    list = newer;
    ++m_topology;
    return true;
}

std::uint64_t BrokerContext::topology()
{
    if (m_nextGrowth && clock.now() >= *m_nextGrowth) {
        m_nextGrowth.reset();
        for (const auto &[id, growth] : m_growths) {
            if (growth.until > clock.now()) {
                m_nextGrowth = std::min(m_nextGrowth.value_or(growth.until), growth.until);
            }
        }
        ++m_topology;
    }
    return m_topology;
}

const config::Workspace *BrokerContext::workspace(const base::WorkspaceId &id) const
{
    return configuration ? configuration->workspace(id) : nullptr;
}

ShareTerms BrokerContext::ownTerms(const config::Workspace &workspace) const
{
    double fraction = shares.fraction(workspace, self.zone);
    const auto growth = m_growths.find(workspace.id);
    if (growth != m_growths.end() && clock.now() < growth->second.until) {
        fraction = std::min(fraction, growth->second.fraction);
    }
    return termsOf(workspace, fraction, settings.clockDriftBound);
}

base::TimePoint BrokerContext::fillsSince(const config::Workspace &workspace) const
{
    base::TimePoint since = base::TimePoint::min();
    const auto removed = m_removed.find(workspace.id);
    if (removed != m_removed.end()) {
        since = removed->second + settings.shareGrowthDelay + surelyExpired(settings, settings.grantValidity);
    }
    const auto growth = m_growths.find(workspace.id);
    if (growth == m_growths.end() || clock.now() < growth->second.until) {
        return since;
    }
    // When the share grew, it held at most what its old fraction allowed.
    const ShareTerms now = ownTerms(workspace);
    const ShareTerms before = termsOf(workspace, growth->second.fraction, settings.clockDriftBound);
    const double fillSeconds
        = static_cast<double>(before.burst) / static_cast<double>(std::max<Tokens>(1, now.ratePerSecond));
    const auto fill = std::chrono::duration<double>(std::min(fillSeconds, changeRetention.count()));
    return std::max(since, growth->second.until - std::chrono::duration_cast<base::Duration>(fill));
}

void BrokerContext::suspect(const base::VmId &vm)
{
    m_suspectedUntil[vm] = clock.now() + suspicionTime;
}

void BrokerContext::clearSuspicion(const base::VmId &vm)
{
    m_suspectedUntil.erase(vm);
}

bool BrokerContext::isSuspected(const base::VmId &vm) const
{
    const auto found = m_suspectedUntil.find(vm);
    return found != m_suspectedUntil.end() && clock.now() < found->second;
}

/// Compares both sorted lists in one pass, because a change of configuration must not block the node.
void BrokerContext::recordChanges(const config::Configuration &before,
                                  const config::Configuration &after,
                                  const ShareMap &oldShares)
{
    const base::TimePoint now = clock.now();
    const base::TimePoint longAgo = now - std::chrono::duration_cast<base::Duration>(changeRetention);
    std::erase_if(m_removed, [longAgo](const auto &entry) { return entry.second < longAgo; });
    std::erase_if(m_growths, [longAgo](const auto &entry) { return entry.second.until < longAgo; });
    auto next = after.workspaces().begin();
    for (const config::Workspace &old : before.workspaces()) {
        while (next != after.workspaces().end() && next->id < old.id) {
            ++next;
        }
        if (next == after.workspaces().end() || next->id != old.id) {
            m_removed[old.id] = now;
        } else if (oldShares.zones() != shares.zones() || oldShares.shareCount(old) != shares.shareCount(*next)) {
            recordGrowth(old, *next, oldShares);
        }
    }
}

void BrokerContext::recordGrowth(const config::Workspace &before,
                                 const config::Workspace &after,
                                 const ShareMap &oldShares)
{
    const double old = oldShares.fraction(before, self.zone);
    if (shares.fraction(after, self.zone) <= old) {
        return;
    }
    const base::TimePoint until
        = clock.now() + settings.shareGrowthDelay + surelyExpired(settings, settings.grantValidity);
    const auto [growth, added] = m_growths.try_emplace(after.id, Growth{old, until});
    growth->second.fraction = added ? old : std::min(old, growth->second.fraction);
    growth->second.until = until;
    m_nextGrowth = std::min(m_nextGrowth.value_or(until), until);
}

}
