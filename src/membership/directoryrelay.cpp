#include "papayastep/membership/directoryrelay.h"

#include "papayastep/base/hashing.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace papayastep::membership {

namespace {

constexpr std::string_view readerRole = "directory reader";

std::uint32_t milliseconds(base::Duration duration)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, UINT32_MAX));
}

ServerRecord recordOf(const config::BackendServer &server, base::TimePoint now)
{
    return ServerRecord{server.id,
                        server.service,
                        server.vm,
                        server.zone,
                        server.address,
                        server.port,
                        server.slots,
                        server.drain,
                        server.incarnation,
                        milliseconds(server.coldUntil - now)};
}

config::BackendServer serverOf(const ServerRecord &record, base::TimePoint now)
{
    config::BackendServer server;
    server.id = record.id;
    server.service = record.service;
    server.vm = record.vm;
    server.zone = record.zone;
    server.address = record.address;
    server.port = record.port;
    server.slots = record.slots;
    server.drain = record.drain;
    server.incarnation = record.incarnation;
    if (record.coldMs > 0) {
        server.coldUntil = now + std::chrono::milliseconds(record.coldMs);
    }
    return server;
}

}

DirectoryRelay::DirectoryRelay(base::VmId self, const base::Clock &clock, const DirectoryRelaySettings &settings)
    : m_self(std::move(self))
    , m_clock(clock)
    , m_settings(settings)
    , m_startedAt(clock.now())
    , m_presentChangedAt(clock.now())
{
}

void DirectoryRelay::applyVms(const std::vector<base::VmId> &present)
{
    if (present != m_present) {
        m_present = present;
        m_presentChangedAt = m_clock.now();
    }
    const std::size_t groups = std::max<std::size_t>(1, present.size() / m_settings.groupSize);
    const auto weightOf = [](const base::VmId &vm) { return base::rendezvousWeight(readerRole, vm.value()); };
    const std::uint64_t own = weightOf(m_self);
    m_group.clear();
    std::copy_if(present.begin(), present.end(), std::back_inserter(m_group), [&](const base::VmId &vm) {
        return weightOf(vm) % groups == own % groups;
    });
    m_rank = static_cast<std::size_t>(
        std::count_if(m_group.begin(), m_group.end(), [&](const base::VmId &vm) { return weightOf(vm) > own; }));
}

bool DirectoryRelay::isReader() const
{
    if (m_rank < m_settings.readersPerGroup) {
        return true;
    }
    if (!isSettled()) {
        return false;
    }
    const base::Duration uncovered = m_clock.now() - std::max(m_freshUntil, *m_settledAt);
    const auto periods = static_cast<std::size_t>(std::max<std::int64_t>(0, uncovered / m_settings.standInDelay));
    return m_rank < m_settings.readersPerGroup * (1 + periods);
}

bool DirectoryRelay::isSettled() const
{
    const base::TimePoint now = m_clock.now();
    const bool isStable = m_present.size() > 1 && now - m_presentChangedAt >= m_settings.settlingTime;
    // A running fleet changes all the time, so a node that was settled once remains so.
    if (!m_settledAt && (isStable || now - m_startedAt >= m_settings.maxSettlingTime)) {
        m_settledAt = now;
    }
    return m_settledAt.has_value();
}

void DirectoryRelay::endCoverage()
{
    m_freshUntil = m_clock.now();
}

base::TimePoint DirectoryRelay::freshUntil() const
{
    return m_freshUntil;
}

void DirectoryRelay::notePlatformAnswer(const ServerUpdate &update)
{
    const base::TimePoint now = m_clock.now();
    if (!m_answeredAt && update.isComplete && !update.changed.empty()) {
        // The fleet was running before this node started, or has been restarted as a whole. Its servers may all have
        // been replaced, and what replaces them must be found at once.
        m_settledAt = now;
    }
    m_answeredAt = now;
    m_version = std::max(m_version, update.version);
    m_publishedRevision = std::max(m_publishedRevision, update.publishedRevision);
    const bool changes = update.isComplete || !update.changed.empty() || !update.removed.empty()
        || !update.evacuated.empty() || !update.restored.empty();
    const std::uint64_t from = m_lastChangeVersion;
    m_lastChangeVersion = changes ? std::max(m_lastChangeVersion, update.version) : m_lastChangeVersion;
    // A complete list does not show what changed since an older version, so a node that holds one asks the platform
    // itself.
    if (!isReader() || !isSettled() || !changes || update.isComplete) {
        return;
    }
    DirectoryNews message{
        from, update.version, 0, m_publishedRevision, {}, update.removed, update.evacuated, update.restored};
    for (const config::BackendServer &server : update.changed) {
        message.changed.push_back(recordOf(server, now));
    }
    sendToAll(message);
}

bool DirectoryRelay::needsCheck(const DirectoryNews &news, std::uint64_t version)
{
    return !news.removed.empty() && news.to > version && news.from <= version;
}

std::optional<ServerUpdate> DirectoryRelay::receive(const DirectoryNews &news, std::uint64_t version)
{
    const base::TimePoint now = m_clock.now();
    if (news.from > version) {
        return std::nullopt;
    }
    const base::TimePoint until = now + m_settings.maxAnswerAge - std::chrono::milliseconds(news.answeredAgoMs);
    m_freshUntil = std::max(m_freshUntil, until);
    ServerUpdate serverUpdate;
    serverUpdate.version = std::max(version, news.to);
    serverUpdate.publishedRevision = news.publishedRevision;
    if (news.to <= version) {
        return serverUpdate;
    }
    for (const ServerRecord &record : news.changed) {
        serverUpdate.changed.push_back(serverOf(record, now));
    }
    serverUpdate.removed = news.removed;
    serverUpdate.evacuated = news.evacuated;
    serverUpdate.restored = news.restored;
    // A reader receives changes from other readers too. The platform's next answer to it starts after them and does not
    // contain them, so it must not be sent as complete to nodes that have missed them.
    m_lastChangeVersion = std::max(m_lastChangeVersion, news.to);
    return serverUpdate;
}

std::vector<wire::Outgoing> DirectoryRelay::takeMessages()
{
    const base::TimePoint now = m_clock.now();
    if (m_answeredAt && now >= m_nextHeartbeat && isReader() && isSettled()) {
        // A node that holds a version from before the last change has missed something and must ask the platform.
        sendToAll(DirectoryNews{
            m_lastChangeVersion, m_version, milliseconds(now - *m_answeredAt), m_publishedRevision, {}, {}, {}, {}});
    }
    return std::exchange(m_messages, {});
}

std::optional<base::TimePoint> DirectoryRelay::nextTick() const
{
    return m_answeredAt && isReader() && isSettled() ? std::optional(m_nextHeartbeat) : std::nullopt;
}

void DirectoryRelay::sendToAll(const DirectoryNews &news)
{
    m_nextHeartbeat = m_clock.now() + m_settings.heartbeatInterval;
    const std::string payload = wire::encode(news);
    for (const base::VmId &vm : m_group) {
        if (vm != m_self) {
            m_messages.push_back(wire::Outgoing{vm, wire::MessageKind::DirectoryNews, payload});
        }
    }
}

}
