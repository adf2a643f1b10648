#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/resultcode.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace papayastep::node {

/// The limits of a RefusalLog.
struct RefusalLogSettings
{
    /// Maximum number of refusals per result code that are logged on a line of their own in each period. This is enough
    /// to see which callers are affected; an overload causes hundreds of refusals per second, and logging each of them
    /// would cost more than the refusals themselves.
    int linesPerPeriod = 10;
    base::Duration period = std::chrono::seconds(1);
    /// Maximum number of request ids in the summary of the other refusals. Forty ids of 16 characters result in a line
    /// of about 700 bytes.
    std::size_t maxListedIds = 40;
};

/// The refusals of one result code that were not logged on lines of their own.
struct RefusalSummary
{
    base::ResultCode code = base::ResultCode::Ok;
    std::uint64_t count = 0;
    std::string requests; ///< The first request ids, separated by commas.

    auto operator<=>(const RefusalSummary &) const = default;
};

/// Decides which refusals are logged individually and which in one summary per period, so that the volume of the log is
/// bounded by the number of result codes and not by the load.
class RefusalLog
{
public:
    explicit RefusalLog(const base::Clock &clock, const RefusalLogSettings &settings = {});

    /// Records the refusal of `request`. Returns true if it must be logged on a line of its own; otherwise it is
    /// included in the next summary.
    bool record(base::ResultCode code, const std::string &request);

    /// Returns and removes the summaries of periods that have ended. To be called about once per period.
    std::vector<RefusalSummary> takeSummaries();

private:
    struct Period
    {
        base::TimePoint startedAt;
        int lines = 0;
        std::size_t listedIds = 0;
        RefusalSummary summary;
    };

    const base::Clock &m_clock;
    RefusalLogSettings m_settings;
    std::map<base::ResultCode, Period> m_periods;
};

}
