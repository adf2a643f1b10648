#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/config/configstore.h"

#include <optional>
#include <set>
#include <string>

namespace papayastep::membership {

/// A revision that is whole and newer, on its way to being parsed and checked.
struct Build
{
    config::ConfigStore store;
    std::string source; ///< "platform", or the VM that it came from.
    std::optional<base::TimePoint> confirmedAt; ///< When the platform offered it to this node, if it did.
};

struct BuildResult
{
    config::ConfigurationPtr configuration; ///< Null if it is not valid.
    std::string error;
};

/// Parses and checks. Takes a second at the planned size, touches nothing else and may run in any thread.
BuildResult runBuild(const Build &build);

/// Which revisions are worth a build: one at a time, of those that wait only the newest, and none that was found
/// invalid before. Without the last, a node that hears of an invalid revision again and again would parse it each time.
class BuildQueue
{
public:
    /// Takes the place of a build that waits.
    void put(Build build);
    /// The build to run now, if none runs already.
    std::optional<Build> take();
    /// A build that was taken has ended.
    void finish(base::Revision revision, const BuildResult &result);
    /// Forgets what was invalid up to `revision`, which is in force.
    void noteActivated(base::Revision revision);

    /// Whether `revision` needs no build: it or a newer one is under way, or it was rejected. A smaller revision than a
    /// rejected one may still be valid.
    bool isPendingOrRejected(base::Revision revision) const;
    /// The newest revision that is under way or was rejected; 0: none.
    base::Revision newestPendingOrRejected() const;

    std::uint64_t finishedCount() const;
    std::uint64_t rejectedCount() const;
    /// Why the last revision was rejected.
    const std::string &lastRejection() const;

private:
    std::set<base::Revision> m_rejected;
    base::Revision m_newestPending = 0; ///< Waiting or running; 0: none.
    std::optional<Build> m_waiting;
    bool m_isRunning = false;
    std::uint64_t m_finishedCount = 0;
    std::uint64_t m_rejectedCount = 0;
    std::string m_lastRejection;
};

}
