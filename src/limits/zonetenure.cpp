#include "zonetenure.h"

#include "papayastep/base/hashing.h"
#include "papayastep/base/log.h"

#include <algorithm>

namespace papayastep::limits {

namespace {

constexpr std::size_t maxWitnesses = 7;
constexpr std::size_t maxChanges = 256;
constexpr base::Duration queryTimeout = std::chrono::milliseconds(200);
constexpr std::string_view witnessHashKey = "witnesses of the zone";

std::uint64_t hashOf(const std::vector<base::VmId> &members)
{
    std::uint64_t hash = members.size();
    for (const base::VmId &vm : members) {
        hash = base::stableHash(vm.value(), hash);
    }
    return hash;
}

std::uint64_t microseconds(base::Duration duration)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
}

base::Duration fromMicroseconds(std::uint64_t value)
{
    const std::uint64_t longest = microseconds(std::chrono::hours(24 * 365));
    return std::chrono::microseconds(std::min(value, longest));
}

}

ZoneTenure::ZoneTenure(const NodeIdentity &self, const base::Clock &clock, const BrokerSettings &settings)
    : m_self(self)
    , m_clock(clock)
    , m_settings(settings)
    , m_unchangedSince(clock.now())
    , m_resetAt(clock.now())
{
}

void ZoneTenure::applyList(const config::VmList &list, base::TimePoint requestedAt)
{
    if (list.version < m_version) {
        return;
    }
    // A skipped list version may have assigned the shares to another VM for a while.
    const bool skipped = list.version > m_version + 1;
    if (list.version > m_version) {
        std::vector<base::VmId> members;
        for (const config::VmEntry &vm : list.vms) {
            if (vm.zone == m_self.zone && vm.canHoldTasks()) {
                members.push_back(vm.id);
            }
        }
        std::sort(members.begin(), members.end());
        m_version = list.version;
        const std::uint64_t hash = hashOf(members);
        if (hash != m_membersHash) {
            adoptMembers(std::move(members));
        }
        recordKnownList(m_version, m_membersHash);
        m_lapsed = m_lapsed || skipped;
    }
    const base::TimePoint now = m_clock.now();
    if (m_proven && !hasFreshProof(now)) {
        m_lapsed = true;
    }
    if (!m_lapsed && !isSuperseded()) {
        m_provenAt = std::max(m_provenAt, std::min(requestedAt, now));
    }
}

bool ZoneTenure::mayGrant()
{
    const base::TimePoint now = m_clock.now();
    if (!m_lapsed && !hasFreshProof(now)) {
        m_lapsed = true;
        ++m_lapses;
        PAPAYASTEP_LOG(INFO, "limits") << "Stopped granting because the proof of being the holder expired."
                                       << base::field("vm", m_self.vm);
    }
    if (m_lapsed && isListed() && (!m_round.open || now - m_round.askedAt >= queryTimeout)) {
        ask();
    }
    return !m_lapsed && isListed() && !isSuperseded();
}

std::optional<base::TimePoint> ZoneTenure::heldSince(const base::WorkspaceId &workspace) const
{
    if (!m_heldSince || !isListed()) {
        return std::nullopt;
    }
    const std::uint64_t ownWeight = base::rendezvousWeight(workspace.value(), m_self.vm.value());
    for (const base::VmId &vm : m_members) {
        if (base::rendezvousWeight(workspace.value(), vm.value()) > ownWeight) {
            return std::nullopt;
        }
    }
    base::TimePoint since = *m_heldSince;
    for (const auto &[vm, index] : m_removed) {
        if (base::rendezvousWeight(workspace.value(), vm.value()) < ownWeight) {
            continue;
        }
        if (!m_changes[index].confirmedAt) {
            return std::nullopt;
        }
        since = std::max(since, *m_changes[index].confirmedAt + takeoverDelay());
    }
    return since;
}

bool ZoneTenure::isReady() const
{
    return m_heldSince && m_clock.now() >= *m_heldSince;
}

std::uint64_t ZoneTenure::term() const
{
    return m_term;
}

void ZoneTenure::receive(const base::VmId &from, base::Incarnation incarnation, const TenureQuery &query)
{
    recordKnownList(query.listVersion, query.membersHash);
    TenureAnswer answer;
    answer.asker = incarnation;
    answer.queryId = query.queryId;
    answer.listVersion = m_knownVersion;
    answer.membersHash = m_knownHash;
    answer.unchangedFor = microseconds(m_clock.now() - m_unchangedSince);
    m_outbox.push_back(wire::outgoing(from, wire::MessageKind::TenureAnswer, answer));
}

void ZoneTenure::receive(const base::VmId &from, const TenureAnswer &answer)
{
    const bool witness = std::find(m_witnesses.begin(), m_witnesses.end(), from) != m_witnesses.end();
    if (answer.asker != m_self.incarnation || !m_round.open || answer.queryId != m_round.number || !witness) {
        return;
    }
    recordKnownList(answer.listVersion, answer.membersHash);
    if (answer.membersHash != m_membersHash) {
        return;
    }
    m_round.agreed.insert(from);
    m_round.unchangedFor = std::min(m_round.unchangedFor, fromMicroseconds(answer.unchangedFor));
    evaluateRound();
}

void ZoneTenure::restart()
{
    ++m_term;
    m_resetAt = m_clock.now();
    m_proven = false;
    m_lapsed = true;
    m_heldSince.reset();
    m_changes.clear();
    m_removed.clear();
    m_round = QueryRound{m_round.number, m_resetAt, {}, base::Duration::max(), false};
}

void ZoneTenure::tick()
{
    const base::TimePoint now = m_clock.now();
    const bool unconfirmed = !m_heldSince || (!m_changes.empty() && !m_changes.back().confirmedAt);
    const bool old = now - m_provenAt >= m_settings.evidenceLifetime / 2;
    const bool waiting = m_round.open && now - m_round.askedAt < queryTimeout;
    if (isListed() && !waiting && (unconfirmed || m_lapsed || old)) {
        ask();
    }
}

std::optional<base::TimePoint> ZoneTenure::nextTick(bool active) const
{
    if (!isListed()) {
        return std::nullopt;
    }
    const bool unconfirmed = !m_heldSince || (!m_changes.empty() && !m_changes.back().confirmedAt);
    if (unconfirmed || (active && m_lapsed)) {
        return m_round.open ? m_round.askedAt + queryTimeout : m_clock.now();
    }
    if (!active) {
        return std::nullopt;
    }
    const base::TimePoint renewal = m_provenAt + m_settings.evidenceLifetime / 2;
    return m_round.open ? std::max(renewal, m_round.askedAt + queryTimeout) : renewal;
}

std::vector<wire::Outgoing> ZoneTenure::takeMessages()
{
    return std::exchange(m_outbox, {});
}

std::uint64_t ZoneTenure::lapses() const
{
    return m_lapses;
}

bool ZoneTenure::isListed() const
{
    return std::binary_search(m_members.begin(), m_members.end(), m_self.vm);
}

/// Whether a newer list with other VMs in the zone is known to exist but has not been received yet.
bool ZoneTenure::isSuperseded() const
{
    return m_knownVersion > m_version && m_knownHash != m_membersHash;
}

bool ZoneTenure::hasFreshProof(base::TimePoint now) const
{
    return m_proven && now - m_provenAt <= m_settings.evidenceLifetime;
}

void ZoneTenure::recordKnownList(std::uint64_t version, std::uint64_t members)
{
    if (version <= m_knownVersion) {
        return;
    }
    if (members != m_knownHash) {
        m_unchangedSince = m_clock.now();
    }
    m_knownVersion = version;
    m_knownHash = members;
}

void ZoneTenure::adoptMembers(std::vector<base::VmId> members)
{
    const bool wasListed = isListed();
    const std::vector<base::VmId> before = std::exchange(m_members, std::move(members));
    m_membersHash = hashOf(m_members);
    chooseWitnesses();
    m_round.open = false;
    if (!wasListed || !isListed() || m_changes.size() >= maxChanges) {
        restart();
        return;
    }
    m_changes.push_back(Change{m_clock.now(), std::nullopt});
    for (const base::VmId &vm : before) {
        if (!std::binary_search(m_members.begin(), m_members.end(), vm)) {
            m_removed[vm] = m_changes.size() - 1;
        }
    }
}

void ZoneTenure::chooseWitnesses()
{
    m_witnesses = m_members;
    std::sort(m_witnesses.begin(), m_witnesses.end(), [](const base::VmId &a, const base::VmId &b) {
        return base::rendezvousWeight(witnessHashKey, a.value()) > base::rendezvousWeight(witnessHashKey, b.value());
    });
    m_witnesses.resize(std::min(m_witnesses.size(), maxWitnesses));
}

/// Twice the quorum exceeds the number of different witnesses before and after a change of two of them.
std::size_t ZoneTenure::quorum() const
{
    return std::min(m_witnesses.size(), m_witnesses.size() / 2 + 2);
}

void ZoneTenure::ask()
{
    const TenureQuery query{m_round.number + 1, m_version, m_membersHash};
    m_round = QueryRound{query.queryId, m_clock.now(), {}, base::Duration::max(), true};
    for (const base::VmId &witness : m_witnesses) {
        if (witness != m_self.vm) {
            m_outbox.push_back(wire::outgoing(witness, wire::MessageKind::TenureQuery, query));
        } else if (!isSuperseded()) {
            m_round.agreed.insert(witness);
        }
    }
    evaluateRound();
}

void ZoneTenure::evaluateRound()
{
    if (isSuperseded() || m_round.agreed.size() < quorum()) {
        return;
    }
    const base::TimePoint now = m_clock.now();
    const std::size_t others = m_round.agreed.size() - m_round.agreed.count(m_self.vm);
    // The own vote does not count for a time about which this process has no information.
    const bool othersSuffice
        = m_members.size() == 1 ? m_heldSince.has_value() : others >= std::min(quorum(), m_members.size() - 1);
    const base::Duration timeSinceReset = now - m_resetAt;
    if (!m_heldSince) {
        const bool noOtherHolder = othersSuffice && m_round.unchangedFor >= timeSinceReset + takeoverDelay();
        m_heldSince
            = noOtherHolder ? m_resetAt + surelyExpired(m_settings, m_settings.grantValidity) : now + takeoverDelay();
        PAPAYASTEP_LOG(INFO, "limits") << "Witnesses confirmed this VM as a holder of shares."
                                       << base::field("vm", m_self.vm) << base::field("list", m_version)
                                       << base::field("guarded", !noOtherHolder);
    } else if (m_lapsed && m_proven) {
        // No other VM can have held the shares if the witnesses saw no change since well before the last proof.
        const bool noOtherHolder = othersSuffice && m_round.unchangedFor >= now - m_provenAt + takeoverDelay();
        if (!noOtherHolder) {
            restart();
            m_heldSince = now + takeoverDelay();
        }
    }
    m_lapsed = false;
    m_proven = true;
    m_provenAt = std::max(m_provenAt, m_round.askedAt);
    confirmChanges(now);
}

void ZoneTenure::confirmChanges(base::TimePoint now)
{
    for (Change &change : m_changes) {
        if (!change.confirmedAt) {
            change.confirmedAt = now;
        }
    }
    m_round.open = m_round.agreed.size() < m_witnesses.size() && m_round.open;
}

base::Duration ZoneTenure::takeoverDelay() const
{
    // The proof expires by one clock, the grants made under it by another.
    return surelyExpired(m_settings, m_settings.evidenceLifetime) + surelyExpired(m_settings, m_settings.grantValidity);
}

base::Duration surelyExpired(const BrokerSettings &settings, base::Duration lifetime)
{
    const auto stretched = lifetime * (1 + 2 * settings.clockDriftBound);
    return std::chrono::duration_cast<base::Duration>(stretched) + settings.clockStopBound;
}

}
