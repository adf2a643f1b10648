#pragma once

#include "papayastep/base/clock.h"

#include <chrono>
#include <random>

namespace papayastep::membership {

/// How long a call of the directory may take beyond the wait that it asks for.
constexpr base::Duration directoryAnswerTimeout = std::chrono::seconds(1);

/// What to ask of the directory of backend servers, how long a watch may wait, and when to ask again.
class DirectorySchedule
{
public:
    struct Call
    {
        bool list = false; ///< Or watch.
        std::chrono::milliseconds wait{0}; ///< Of a watch.
    };

    /// `hasCompleteList`: a whole list is held.
    Call next(bool hasCompleteList) const;

    // How a call ended. Each returns the pause before the next one.
    /// `anyMissing`: some entries may only have lapsed in an outage.
    base::Duration answered(bool isReader, bool anyMissing);
    base::Duration historyGone();
    /// Random, so that a fleet does not fall upon a platform that comes back.
    base::Duration failed(std::mt19937_64 &random);

    bool mustList() const;
    /// In a row.
    int consecutiveFailures() const;

private:
    int m_failures = 0;
    bool m_historyGone = false;
};

}
