#include "papayastep/net/callbook.h"

namespace papayastep::net {

void CallBook::note(std::string_view call, base::ResultCode answer, base::Duration took)
{
    const bool good = answer == base::ResultCode::Ok;
    CallTotal &total = m_totals[{std::string(call), good ? "ok" : std::to_string(number(answer))}];
    ++total.calls;
    total.took += took;
}

const std::map<CallKind, CallTotal> &CallBook::totals() const
{
    return m_totals;
}

}
