#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"
#include "papayastep/routing/attemptregistry.h"

#include <unordered_map>

namespace papayastep::routing {

/// Records when the present process on each VM was first seen.
///
/// A serving node that crashes loses its record of started attempts, and its next process would answer a cancel with
/// "never started". The action would then run a second time elsewhere. Only a process from which a message arrived
/// before the attempt was sent can report what became of the attempt.
class ProcessTable
{
public:
    explicit ProcessTable(const base::Clock &clock);

    /// Records that a message of this process has arrived.
    void recordMessage(const base::VmId &vm, base::Incarnation incarnation);

    /// Returns `answer` of this process about an attempt that was sent at `sentAt`, or Unconfirmed if the answer is
    /// NeverStarted and this process may not have received the attempt.
    CancelAnswer verifiedAnswer(const base::VmId &vm,
                                base::Incarnation incarnation,
                                CancelAnswer answer,
                                base::TimePoint sentAt) const;

private:
    struct Process
    {
        base::Incarnation incarnation = 0;
        base::TimePoint since;
    };

    const base::Clock &m_clock;
    std::unordered_map<base::VmId, Process> m_processes;
};

}
