#pragma once

#include "papayastep/base/clock.h"

#include <array>
#include <optional>

namespace papayastep::limits {

/// Decides before which attempts a nested call of a running request is started, at a backend server that also gets
/// more urgent requests than that run.
///
/// It answers an overload of a service that serves both. A refused call loses the work of its run, which holds a slot
/// until the call is answered; a call that goes first delays a more urgent request. Long urgent requests lose little by
/// short calls in front of them, whereas a great many calls in front of short urgent requests displace these. So the
/// decision compares what a slot yields per second: the value of the priority divided by the mean run time.
class CallOrder
{
public:
    /// Number of priorities that are told apart; less urgent ones count as the last.
    static constexpr int priorities = 9;

    /// Records a run of a request that is not a nested call and ran to its end.
    void recordRun(int priority, base::Duration run);

    /// Returns the most urgent priority whose attempts a call goes before. `callPriority` is the priority of the run
    /// that made the call, `callRun` the mean run time of the call. Calls always go before attempts of the priority of
    /// their run, and before a more urgent one only if its run times have been recorded.
    int goesBefore(int callPriority, base::Duration callRun) const;

private:
    std::array<std::optional<base::Duration>, priorities> m_meanRuns; ///< By priority.
};

}
