#include "papayastep/base/log.h"
#include "papayastep/membership/directoryschedule.h"
#include "papayastep/membership/serverdirectory.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace papayastep;
using namespace papayastep::membership;
using namespace std::chrono_literals;

namespace {

/// Times after the platform's last lost answer: until it counts as stable, and then for which a leaving server may
/// still get work.
constexpr base::Duration stableAfter = 3s;
constexpr base::Duration drainTime = 2s;

/// Lapse of a lease of three heartbeats of 1.5 s that was last renewed one heartbeat before the outage.
constexpr base::Duration shortestLapse = 3s;

constexpr base::Duration answerTime = 4ms;
constexpr base::Duration step = 5ms;

config::BackendServer server(const std::string &id)
{
    config::BackendServer server;
    server.id = base::BackendServerId(id);
    server.address = id;
    return server;
}

/// A platform whose answers are lost for a while, and the changes of its directory.
struct Platform
{
    struct Change
    {
        base::TimePoint at;
        config::BackendServer server;
        bool removed = false;
    };

    base::TimePoint outageBegins;
    base::TimePoint outageEnds;
    std::vector<Change> changes;

    bool isLost(base::TimePoint sent, base::TimePoint answered) const
    {
        return sent < outageEnds && answered >= outageBegins;
    }

    /// Returns when a watch from `version` that was sent at `sent` is answered.
    base::TimePoint watchAnsweredAt(std::uint64_t version, base::TimePoint sent, base::Duration wait) const
    {
        const std::size_t next = version - 1;
        const base::TimePoint latest = sent + wait;
        return answerTime + (next < changes.size() ? std::clamp(changes[next].at, sent, latest) : latest);
    }

    ServerUpdate updateSince(std::uint64_t version, base::TimePoint now) const
    {
        ServerUpdate update;
        update.version = version;
        for (std::size_t next = version - 1; next < changes.size() && changes[next].at <= now; ++next) {
            ++update.version;
            const Change &change = changes[next];
            std::erase(update.removed, change.server.id);
            if (change.removed) {
                std::erase(update.changed, change.server);
                update.removed.push_back(change.server.id);
            } else {
                update.changed.push_back(change.server);
            }
        }
        return update;
    }
};

/// A node that gets no updates from readers, on a manual clock.
class NodeWithoutReader
{
public:
    NodeWithoutReader(const Platform &platform, base::ManualClock &clock, std::uint64_t seed)
        : m_platform(platform)
        , m_clock(clock)
        , m_random(seed)
        , m_directory(clock)
    {
        ServerUpdate update;
        update.version = 1;
        update.isComplete = true;
        update.changed = {server("leaves"), server("stays")};
        m_directory.apply(update);
        m_nextCall = clock.now();
    }

    void runUntil(base::TimePoint end)
    {
        while (m_clock.now() < end) {
            m_clock.advance(step);
            if (m_clock.now() >= m_nextCall) {
                m_waiting ? finishCall() : startCall();
            }
            m_directory.tick();
        }
    }

    bool lists(const std::string &id) const
    {
        const auto servers = m_directory.servers();
        return std::any_of(servers.begin(), servers.end(), [&](const config::BackendServer &listed) {
            return listed.id.value() == id;
        });
    }

private:
    void startCall()
    {
        const base::Duration wait = m_schedule.next(true).wait;
        const base::TimePoint now = m_clock.now();
        const base::TimePoint answered = m_platform.watchAnsweredAt(m_directory.version(), now, wait);
        m_isLost = m_platform.isLost(now, answered);
        m_nextCall = m_isLost ? now + wait + directoryAnswerTimeout : answered;
        m_waiting = true;
    }

    void finishCall()
    {
        m_waiting = false;
        if (m_isLost) {
            m_directory.noteUnreachable();
            m_nextCall = m_clock.now() + m_schedule.failed(m_random);
            return;
        }
        m_directory.apply(m_platform.updateSince(m_directory.version(), m_clock.now()));
        m_nextCall = m_clock.now() + m_schedule.answered(true, false, m_directory.anyMissing());
    }

    const Platform &m_platform;
    base::ManualClock &m_clock;
    std::mt19937_64 m_random;
    ServerDirectory m_directory;
    DirectorySchedule m_schedule;
    base::TimePoint m_nextCall;
    bool m_waiting = false;
    bool m_isLost = false;
};

/// Runs a check for outages of many lengths that begin at many moments of a watch.
struct OutageFixture
{
    OutageFixture()
    {
        FLAGS_minloglevel = google::GLOG_FATAL;
    }

    template<typename Check>
    void forEachOutage(const Check &check)
    {
        std::uint64_t seed = 1;
        for (base::Duration begins = 1s; begins < 6s; begins += 170ms) {
            for (base::Duration length = 20ms; length < 12s; length += 390ms) {
                base::ManualClock clock;
                Platform platform;
                platform.outageBegins = clock.now() + begins;
                platform.outageEnds = platform.outageBegins + length;
                check(platform, clock, ++seed);
            }
        }
    }
};

}

// A server leaves after an outage, and the last answer before the outage was lost. A detection that is too slow would
// give it work three seconds longer than allowed.
BOOST_FIXTURE_TEST_CASE(server_thatLeavesOnceThePlatformIsStableAgain_isOutOfUseInTime, OutageFixture)
{
    int late = 0;
    forEachOutage([&](Platform &platform, base::ManualClock &clock, std::uint64_t seed) {
        const base::TimePoint leaves = platform.outageEnds + stableAfter;
        platform.changes = {{leaves, server("leaves"), true}};
        NodeWithoutReader node(platform, clock, seed);
        node.runUntil(leaves + drainTime);
        late += node.lists("leaves") ? 1 : 0;
        BOOST_TEST(node.lists("stays"));
    });
    BOOST_TEST(late == 0);
}

// An entry that lapsed because the platform was unreachable must not be removed before it can have returned.
BOOST_FIXTURE_TEST_CASE(server_whoseEntryLapsedInAnOutage_staysInUseUntilItIsBack, OutageFixture)
{
    int dropped = 0;
    forEachOutage([&](Platform &platform, base::ManualClock &clock, std::uint64_t seed) {
        if (platform.outageEnds - platform.outageBegins < shortestLapse) {
            return;
        }
        const base::TimePoint back = platform.outageEnds + 1900ms;
        const base::TimePoint lapses = platform.outageBegins + shortestLapse;
        platform.changes = {{lapses, server("leaves"), true}, {back, server("leaves"), false}};
        NodeWithoutReader node(platform, clock, seed);
        for (base::Duration passed{}; passed < 20s; passed += step) {
            node.runUntil(clock.now() + step);
            dropped += node.lists("leaves") ? 0 : 1;
        }
    });
    BOOST_TEST(dropped == 0);
}
