#include "papayastep/node/directorykeeper.h"

#include "papayastep/base/error.h"
#include "papayastep/base/log.h"

#include <algorithm>

namespace papayastep::node {

namespace {

constexpr std::string_view logPrefix = "platform";

/// Longer watches cost fewer calls, but one whose answer was lost is noticed only at its end. A leaving server must be
/// out of use, and a configuration in force, some five seconds after the platform lost its last answer; a second is
/// left for the answer's timeout and the next watch.
constexpr std::chrono::milliseconds watchWait = std::chrono::milliseconds(3500);

/// Between two watches. Changes come in bursts (a release, a fleet that starts), and each answer is a call that is
/// paid for. Far below the two seconds in which a leaving server must be out of use.
constexpr base::Duration gather = std::chrono::milliseconds(300);

constexpr base::Duration firstBackoff = std::chrono::milliseconds(100);
constexpr base::Duration longestBackoff
    = std::chrono::milliseconds(1000); ///< A fleet of 100 then asks 100 times a second.

}

DirectoryKeeper::DirectoryKeeper(NodeContext &context,
                                 membership::ServerDirectory &directory,
                                 net::ServerSource &source)
    : m_context(context)
    , m_directory(directory)
    , m_source(source)
{
}

void DirectoryKeeper::start(std::function<void(base::Revision published, bool changed)> answered)
{
    m_answered = std::move(answered);
    net::asio::co_spawn(m_context.io, loop(), net::asio::detached);
}

void DirectoryKeeper::stop()
{
    m_stopped = true;
}

base::TimePoint DirectoryKeeper::askedAt() const
{
    return m_askedAt;
}

net::Awaitable<void> DirectoryKeeper::loop()
{
    while (!m_stopped) {
        base::Duration wait = gather;
        try {
            co_await readOnce();
            m_failures = 0;
        } catch (const base::Error &error) {
            if (error.code() == base::ResultCode::PlatformHistoryGone) {
                m_historyGone = true;
                wait = base::Duration::zero();
            } else {
                m_directory.noteUnreachable();
                ++m_failures;
                wait = backoff();
            }
            PAPAYASTEP_LOG(WARNING, logPrefix)
                << "Could not read the directory of backend servers." << base::field("code", number(error.code()))
                << base::field("detail", error.detail()) << base::field("failures", m_failures);
        }
        co_await pause(wait);
    }
}

net::Awaitable<void> DirectoryKeeper::readOnce()
{
    const base::TimePoint askedAt = m_context.clock.now();
    const bool list = !m_directory.isKnown() || m_historyGone;
    membership::ServerNews news;
    if (list) {
        news = co_await m_source.listServers();
    } else {
        news = co_await m_source.watchServers(m_directory.version(), watchWait);
    }
    m_historyGone = false;
    m_askedAt = askedAt;
    const bool changed = m_directory.apply(news);
    m_answered(news.publishedRevision, changed || list);
}

net::Awaitable<void> DirectoryKeeper::pause(base::Duration duration)
{
    net::asio::steady_timer timer(m_context.io, duration);
    net::beast::error_code ignored;
    co_await timer.async_wait(net::into(ignored));
}

/// Random, so that a fleet does not fall upon a platform that comes back.
base::Duration DirectoryKeeper::backoff()
{
    const int doublings = std::min(m_failures - 1, 4);
    const base::Duration longest = std::min(longestBackoff, firstBackoff * (1 << doublings));
    return base::Duration(
        std::uniform_int_distribution<base::Duration::rep>(longest.count() / 2, longest.count())(m_context.random));
}

}
