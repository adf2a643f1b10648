#include "papayastep/net/callstatistics.h"

namespace papayastep::net {

void CallStatistics::record(std::string_view call, base::ResultCode answer, base::Duration duration)
{
    const bool good = answer == base::ResultCode::Ok;
    CallTotal &total = m_totals[{std::string(call), good ? "ok" : std::to_string(number(answer))}];
    ++total.calls;
    total.totalDuration += duration;
}

const std::map<CallKind, CallTotal> &CallStatistics::totals() const
{
    return m_totals;
}

}
