#include "papayastep/membership/directoryschedule.h"

#include "papayastep/membership/serverdirectory.h"

#include <algorithm>

namespace papayastep::membership {

namespace {

/// A watch whose answer is lost is noticed only at its timeout. And a reader tells others how fresh its news is: with
/// the pause after it, a watch takes 0.7 s, well below the 1.1 s for which a reader's news cover others.
constexpr std::chrono::milliseconds watchWait = std::chrono::milliseconds(600);

/// Between two watches. Changes come in bursts (a release, a fleet that starts), and each answer is a call that is
/// paid for. Far below the two seconds in which a leaving server must be out of use.
constexpr base::Duration gather = std::chrono::milliseconds(300);

constexpr base::Duration readerGather = std::chrono::milliseconds(100);

/// While entries are missing after an outage: each that comes back must be heard of before it is dropped.
constexpr base::Duration gatherAfterOutage = std::chrono::milliseconds(50);

constexpr base::Duration firstBackoff = std::chrono::milliseconds(100);
constexpr base::Duration longestBackoff
    = std::chrono::milliseconds(800); ///< A fleet of 100 then asks some 160 times a second.
constexpr int mostDoublings = 4;

/// After the platform lost its last answer: three seconds until it counts as calm, and two in which a server that
/// leaves then must be out of use.
constexpr base::Duration outOfUseWithin = std::chrono::seconds(5);
constexpr base::Duration longestSilence = watchWait + directoryAnswerTimeout + longestBackoff;
static_assert(longestSilence + ServerDirectorySettings{}.outageGracePeriod < outOfUseWithin);

}

DirectorySchedule::Call DirectorySchedule::next(bool hasCompleteList) const
{
    if (!hasCompleteList || m_historyGone) {
        return {true, std::chrono::milliseconds(0)};
    }
    // Until the platform answers again, to know that it does is worth more than to wait for news.
    return {false, m_failures == 0 ? watchWait : std::chrono::milliseconds(0)};
}

base::Duration DirectorySchedule::answered(bool isReader, bool anyMissing)
{
    m_failures = 0;
    m_historyGone = false;
    if (anyMissing) {
        return gatherAfterOutage;
    }
    return isReader ? readerGather : gather;
}

base::Duration DirectorySchedule::historyGone()
{
    m_historyGone = true;
    return base::Duration::zero();
}

base::Duration DirectorySchedule::failed(std::mt19937_64 &random)
{
    ++m_failures;
    const int doublings = std::min(m_failures - 1, mostDoublings);
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
