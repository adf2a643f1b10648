#include "papayastep/membership/directoryschedule.h"

#include "papayastep/membership/serverdirectory.h"

#include <algorithm>

namespace papayastep::membership {

namespace {

/// The loss of a watch's answer is detected only at its timeout. A reader also reports the age of its last answer: with
/// the delay after it, a watch takes 0.7 s, well below the 1.1 s for which an answer to a reader covers the other
/// nodes.
constexpr std::chrono::milliseconds watchWait = std::chrono::milliseconds(600);

/// Delay between two watches. Changes come in bursts (a release, a fleet that starts), and each answer costs a call.
/// Far below the two seconds in which a leaving server must be out of use.
constexpr base::Duration batchingDelay = std::chrono::milliseconds(300);

constexpr base::Duration readerBatchingDelay = std::chrono::milliseconds(100);

/// Delay until the node knows who reads for its group. All nodes of a fleet that starts call then, and each batch of
/// servers that register would wake them all. It is below the time for which a node counts as starting.
constexpr base::Duration batchingDelayAtStart = std::chrono::seconds(1);

/// Delay while entries are missing after an outage: each one that returns must be seen before it is removed.
constexpr base::Duration batchingDelayAfterOutage = std::chrono::milliseconds(50);

constexpr base::Duration firstBackoff = std::chrono::milliseconds(100);
/// With this backoff a fleet of 100 nodes makes some 160 calls a second.
constexpr base::Duration longestBackoff = std::chrono::milliseconds(800);
constexpr int maxDoublings = 4;

/// Time after the platform's last lost answer: three seconds until the platform counts as stable, and two in which a
/// server that leaves then must be out of use.
constexpr base::Duration outOfUseWithin = std::chrono::seconds(5);
constexpr base::Duration longestDetectionTime = watchWait + directoryAnswerTimeout + longestBackoff;
static_assert(longestDetectionTime + ServerDirectorySettings{}.outageGracePeriod < outOfUseWithin);

}

DirectorySchedule::Call DirectorySchedule::next(bool hasCompleteList) const
{
    if (!hasCompleteList || m_historyGone) {
        // After the history was discarded, an old list may be from before that.
        return {true, !m_historyGone, std::chrono::milliseconds(0)};
    }
    // While calls fail, detecting that the platform answers again matters more than waiting for a change.
    return {false, false, m_failures == 0 ? watchWait : std::chrono::milliseconds(0)};
}

base::Duration DirectorySchedule::answered(bool isSettled, bool isReader, bool anyMissing)
{
    m_failures = 0;
    m_historyGone = false;
    if (anyMissing) {
        return batchingDelayAfterOutage;
    }
    if (!isSettled) {
        return batchingDelayAtStart;
    }
    return isReader ? readerBatchingDelay : batchingDelay;
}

base::Duration DirectorySchedule::historyGone()
{
    m_historyGone = true;
    return base::Duration::zero();
}

base::Duration DirectorySchedule::failed(std::mt19937_64 &random)
{
    ++m_failures;
    const int doublings = std::min(m_failures - 1, maxDoublings);
    const base::Duration longest = std::min(longestBackoff, firstBackoff * (1 << doublings));
    return base::Duration(
        std::uniform_int_distribution<base::Duration::rep>(longest.count() / 2, longest.count())(random));
}

bool DirectorySchedule::mustList() const
{
    return m_historyGone;
}

int DirectorySchedule::consecutiveFailures() const
{
    return m_failures;
}

}
