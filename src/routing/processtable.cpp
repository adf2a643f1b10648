#include "papayastep/routing/processtable.h"

namespace papayastep::routing {

ProcessTable::ProcessTable(const base::Clock &clock)
    : m_clock(clock)
{
}

void ProcessTable::recordMessage(const base::VmId &vm, base::Incarnation incarnation)
{
    Process &process = m_processes[vm];
    if (process.incarnation != incarnation) {
        process = Process{incarnation, m_clock.now()};
    }
}

CancelAnswer ProcessTable::verifiedAnswer(const base::VmId &vm,
                                          base::Incarnation incarnation,
                                          CancelAnswer answer,
                                          base::TimePoint sentAt) const
{
    if (answer != CancelAnswer::NeverStarted) {
        return answer;
    }
    const auto found = m_processes.find(vm);
    const bool wasThere
        = found != m_processes.end() && found->second.incarnation == incarnation && found->second.since <= sentAt;
    return wasThere ? answer : CancelAnswer::Unconfirmed;
}

}
