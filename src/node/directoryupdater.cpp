#include "papayastep/node/directoryupdater.h"

#include "papayastep/base/error.h"
#include "papayastep/base/log.h"
#include "papayastep/net/task.h"

#include <algorithm>

namespace papayastep::node {

namespace {

constexpr std::string_view logPrefix = "platform";

/// Time that a node waits for its peers to send a new revision that the readers of the directory have announced. After
/// it, the node reads the revision from the platform itself: a configuration must be active on all nodes two seconds
/// after the platform has it.
constexpr base::Duration revisionPatience = std::chrono::milliseconds(600);
/// Interval of the loop while the readers keep this node up to date.
constexpr base::Duration coveredPause = std::chrono::milliseconds(200);
/// Largest number of messages that wait for a check. A node that does not check in time reads the platform itself.
constexpr std::size_t maxUnchecked = 16;

std::int64_t milliseconds(base::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}

DirectoryUpdater::DirectoryUpdater(NodeContext &context,
                                   membership::ServerDirectory &directory,
                                   net::ServerSource &source)
    : m_context(context)
    , m_directory(directory)
    , m_source(source)
    , m_relay(context.settings.vm, context.clock)
    , m_revisionPatience(revisionPatience)
{
}

void DirectoryUpdater::start(std::function<void(base::Revision published, bool changed)> answered)
{
    m_onAnswer = std::move(answered);
    net::spawnRestartingTask(m_context.io, "directory", [this] { return loop(); });
}

void DirectoryUpdater::stop()
{
    m_stopped = true;
}

base::TimePoint DirectoryUpdater::lastRequestedAt() const
{
    return m_lastRequestedAt;
}

net::Awaitable<void> DirectoryUpdater::loop()
{
    while (!m_stopped) {
        if (isCovered()) {
            requestMissingRevision();
        }
        base::Duration wait = coveredPause;
        const base::TimePoint lastRequestedAt = m_context.clock.now();
        try {
            if (!isCovered()) {
                co_await readOnce();
                wait = m_schedule.answered(m_relay.isSettled(), m_relay.isReader(), m_directory.anyMissing());
            } else if (!m_unchecked.empty()) {
                co_await applyChecked();
            }
        } catch (const base::Error &error) {
            if (error.code() == base::ResultCode::PlatformHistoryGone) {
                wait = m_schedule.historyGone();
            } else {
                m_relay.endCoverage();
                m_directory.noteUnreachable();
                wait = m_schedule.failed(m_context.random);
            }
            PAPAYASTEP_LOG(WARNING, logPrefix)
                << "Failed to read the directory of backend servers." << base::field("code", number(error.code()))
                << base::field("detail", error.detail()) << base::field("failures", m_schedule.consecutiveFailures())
                << base::field("tookMs", milliseconds(m_context.clock.now() - lastRequestedAt))
                << base::field("againInMs", milliseconds(wait));
        }
        co_await pause(wait);
    }
}

net::Awaitable<void> DirectoryUpdater::readOnce()
{
    const base::TimePoint lastRequestedAt = m_context.clock.now();
    const membership::DirectorySchedule::Call call = m_schedule.next(m_directory.hasCompleteList());
    membership::ServerUpdate news;
    m_unchecked.clear();
    if (call.list) {
        news = co_await m_source.listServers(call.mayBeOld);
    } else {
        news = co_await m_source.watchServers(m_directory.version(), call.wait);
    }
    m_lastRequestedAt = lastRequestedAt;
    const bool changed = m_directory.apply(news);
    m_relay.notePlatformAnswer(news);
    m_onAnswer(news.publishedRevision, changed || call.list);
    sendUpdates();
}

/// Applies the waiting messages if the platform answers this node. If it does not, they are dropped, and the node
/// handles the outage like one that it found by a call of its own.
net::Awaitable<void> DirectoryUpdater::applyChecked()
{
    const std::vector<membership::DirectoryNews> messages = std::exchange(m_unchecked, {});
    co_await m_source.checkReachable();
    for (const membership::DirectoryNews &message : messages) {
        apply(message);
    }
}

void DirectoryUpdater::applyVms(const std::vector<base::VmId> &present)
{
    m_relay.applyVms(present);
}

void DirectoryUpdater::receive(const membership::DirectoryNews &message)
{
    if (!m_directory.hasCompleteList()) {
        return;
    }
    const bool mustWait
        = !m_unchecked.empty() || membership::DirectoryRelay::needsCheck(message, m_directory.version());
    if (!mustWait) {
        apply(message);
    } else if (m_unchecked.size() < maxUnchecked) {
        m_unchecked.push_back(message);
    }
}

void DirectoryUpdater::apply(const membership::DirectoryNews &message)
{
    const auto news = m_relay.receive(message, m_directory.version());
    if (!news) {
        return;
    }
    const base::TimePoint answeredAt = m_context.clock.now() - std::chrono::milliseconds(message.answeredAgoMs);
    m_lastRequestedAt = std::max(m_lastRequestedAt, answeredAt);
    m_revisionPatience.noteAnnounced(news->publishedRevision, m_context.clock.now());
    if (m_directory.apply(*news, answeredAt)) {
        m_onAnswer(0, true);
    }
}

void DirectoryUpdater::sendUpdates()
{
    for (const wire::Outgoing &message : m_relay.takeMessages()) {
        m_context.send(message);
    }
}

std::optional<base::TimePoint> DirectoryUpdater::nextTick() const
{
    return m_relay.nextTick();
}

/// Whether the updates from readers are recent enough, so that this node need not call the platform.
bool DirectoryUpdater::isCovered() const
{
    return !m_relay.isReader() && m_directory.hasCompleteList() && !m_schedule.mustList()
        && m_context.clock.now() < m_relay.freshUntil();
}

void DirectoryUpdater::requestMissingRevision()
{
    const auto &configuration = m_context.active.configuration;
    const base::Revision activeRevision = configuration ? configuration->revision() : 0;
    if (!m_revisionPatience.hasExpired(activeRevision, m_context.clock.now())) {
        return;
    }
    m_revisionPatience.notePlatformAsked(m_context.clock.now());
    const base::Revision announced = m_revisionPatience.newestAnnounced();
    PAPAYASTEP_LOG(WARNING, logPrefix) << "No peer sent a revision in time; reading it from the platform."
                                       << base::field("heard", announced) << base::field("revision", activeRevision);
    m_onAnswer(announced, false);
}

net::Awaitable<void> DirectoryUpdater::pause(base::Duration duration)
{
    net::asio::steady_timer timer(m_context.io, duration);
    net::beast::error_code ignored;
    co_await timer.async_wait(net::into(ignored));
}

}
