#pragma once

#include "papayastep/base/clock.h"

#include <chrono>
#include <random>

namespace papayastep::membership {

/// Time that a call of the directory may take beyond the wait that it requests.
constexpr base::Duration directoryAnswerTimeout = std::chrono::seconds(1);

/// Decides whether to list or to watch the directory of backend servers, how long a watch may wait, and when to call
/// again.
class DirectorySchedule
{
public:
    struct Call
    {
        bool list = false; ///< Whether to read the complete list; otherwise to watch for changes.
        bool mayBeOld = false; ///< The list may be some seconds old, as the node has none and watches from its version.
        std::chrono::milliseconds wait{0}; ///< Longest time that a watch waits for a change.
    };

    /// Returns the next call. `hasCompleteList` says whether the node holds a complete list.
    Call next(bool hasCompleteList) const;

    // Each of these functions records how a call ended and returns the delay before the next one.

    /// Records an answer. `isSettled` says whether the node knows who reads for its group, `anyMissing` whether some
    /// entries may only have lapsed in an outage.
    base::Duration answered(bool isSettled, bool isReader, bool anyMissing);
    base::Duration historyGone();
    /// Records a failed call. The delay is random, so that the nodes of a fleet do not all call at once when the
    /// platform recovers.
    base::Duration failed(std::mt19937_64 &random);

    bool mustList() const;
    /// Number of failed calls in a row.
    int consecutiveFailures() const;

private:
    int m_failures = 0;
    bool m_historyGone = false;
};

}
