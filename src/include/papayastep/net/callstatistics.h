#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/resultcode.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace papayastep::net {

/// A call of an external service together with the result of its answer. Calls are counted per kind.
struct CallKind
{
    std::string call;
    std::string answer; ///< `ok`, or the number of the result code of the error.

    auto operator<=>(const CallKind &) const = default;
};

/// Number and total duration of the calls of one kind since the start of the process.
struct CallTotal
{
    std::uint64_t calls = 0;
    base::Duration totalDuration{};

    auto operator<=>(const CallTotal &) const = default;
};

/// Counts the calls of an external service where they are sent, so that a read that is answered from a copy is not
/// counted.
class CallStatistics
{
public:
    void record(std::string_view call, base::ResultCode answer, base::Duration duration);

    const std::map<CallKind, CallTotal> &totals() const;

private:
    std::map<CallKind, CallTotal> m_totals;
};

}
