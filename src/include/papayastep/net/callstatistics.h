#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/resultcode.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace papayastep::net {

/// Which call of an outside service, and how it was answered.
struct CallKind
{
    std::string call;
    std::string answer; ///< `ok`, or the number of the error.

    auto operator<=>(const CallKind &) const = default;
};

/// Calls of one kind since the start.
struct CallTotal
{
    std::uint64_t calls = 0;
    base::Duration totalDuration{};

    auto operator<=>(const CallTotal &) const = default;
};

/// Counts the calls of an outside service where they are made, so that what was answered from a copy does not count.
class CallStatistics
{
public:
    void record(std::string_view call, base::ResultCode answer, base::Duration took);

    const std::map<CallKind, CallTotal> &totals() const;

private:
    std::map<CallKind, CallTotal> m_totals;
};

}
