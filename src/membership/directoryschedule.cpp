#include "papayastep/membership/directoryschedule.h"

#include <algorithm>

namespace papayastep::membership {

namespace {

/// Longer watches cost fewer calls, but one whose answer was lost is noticed only at its end. A leaving server must be
/// out of use, and a configuration in force, some five seconds after the platform lost its last answer; a second is
/// left for the answer's timeout and the next watch.
constexpr std::chrono::milliseconds watchWait = std::chrono::milliseconds(3500);

/// Between two watches. Changes come in bursts (a release, a fleet that starts), and each answer is a call that is
/// paid for. Far below the two seconds in which a leaving server must be out of use.
constexpr base::Duration gather = std::chrono::milliseconds(300);

/// A reader tells others how fresh its news is, so its watches end soon: with the pause after it, one takes 0.7 s, well
/// below the 1.1 s for which its news cover others.
constexpr std::chrono::milliseconds readerWait = std::chrono::milliseconds(600);
constexpr base::Duration readerGather = std::chrono::milliseconds(100);

constexpr base::Duration firstBackoff = std::chrono::milliseconds(100);
constexpr base::Duration longestBackoff
    = std::chrono::milliseconds(1000); ///< A fleet of 100 then asks 100 times a second.
constexpr int mostDoublings = 4;

}

DirectorySchedule::Call DirectorySchedule::next(bool isReader, bool isKnown) const
{
    if (!isKnown || m_historyGone) {
        return {true, std::chrono::milliseconds(0)};
    }
    return {false, isReader ? readerWait : watchWait};
}

base::Duration DirectorySchedule::answered(bool isReader)
{
    m_failures = 0;
    m_historyGone = false;
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

int DirectorySchedule::failures() const
{
    return m_failures;
}

}
