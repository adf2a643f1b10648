#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/config/check.h"
#include "papayastep/config/configstore.h"

#include <optional>
#include <set>
#include <string>

namespace papayastep::membership {

/// A complete revision that is newer than the active one and has to be parsed and checked.
struct Build
{
    config::ConfigStore store;
    std::string source; ///< "platform", or the VM that sent the revision.
    /// Time at which the platform offered the revision to this node, if it did.
    std::optional<base::TimePoint> confirmedAt;
};

/// The result of a build: the configuration, or the error for which the revision is invalid.
struct BuildResult
{
    config::ConfigurationPtr configuration; ///< Null if the revision is not valid.
    std::string error;
    std::vector<config::SkippedEntry> skipped{}; ///< Entries that were left out of the configuration.
};

/// Parses and checks a revision. Takes a second at the planned size, touches nothing else and may run in any thread.
BuildResult runBuild(const Build &build, config::InvalidEntries invalidEntries = config::InvalidEntries::Reject);

/// Decides which revisions are built: one at a time, only the newest of those that wait, and none that was rejected
/// before. Without the last rule, a node that receives an invalid revision repeatedly would parse it each time.
class BuildQueue
{
public:
    /// Adds a build. It replaces one that still waits.
    void put(Build build);
    /// Returns the build to run now; empty if one is running already or none waits.
    std::optional<Build> take();
    /// Records the result of a build that take() returned.
    void finish(base::Revision revision, const BuildResult &result);
    /// Forgets the rejected revisions up to `revision`, which is now active.
    void noteActivated(base::Revision revision);

    /// Returns whether `revision` needs no build: it or a newer one is waiting or running, or it was rejected. A
    /// revision below a rejected one may still be valid.
    bool isPendingOrRejected(base::Revision revision) const;
    /// Returns the newest revision that is waiting, running or rejected; 0 if there is none.
    base::Revision newestPendingOrRejected() const;

    std::uint64_t finishedCount() const;
    std::uint64_t rejectedCount() const;
    /// Error of the revision that was rejected last.
    const std::string &lastRejection() const;

private:
    std::set<base::Revision> m_rejected;
    base::Revision m_newestPending = 0; ///< The newest revision that is waiting or running; 0 if there is none.
    std::optional<Build> m_waiting;
    bool m_isRunning = false;
    std::uint64_t m_finishedCount = 0;
    std::uint64_t m_rejectedCount = 0;
    std::string m_lastRejection;
};

}
