#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"
#include "papayastep/routing/attemptregistry.h"

#include <unordered_map>

namespace papayastep::routing {

/// Since when the present process on each VM is known.
///
/// A serving node that crashes forgets which attempts it has started, and its next process would answer a cancel with
/// "never started". The action would then run a second time elsewhere. Only a process that was heard before the attempt
/// was sent can know what became of it.
class ProcessTable
{
public:
    explicit ProcessTable(const base::Clock &clock);

    /// A message of this process came.
    void recordMessage(const base::VmId &vm, base::Incarnation incarnation);

    /// What `answer` of this process proves about an attempt that was sent at `sentAt`.
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
