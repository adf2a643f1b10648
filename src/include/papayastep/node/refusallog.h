#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/resultcode.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace papayastep::node {

struct RefusalLogSettings
{
    /// Refusals of one code that get a line of their own in each period. Enough to see who is concerned; an overload
    /// refuses hundreds a second, and their lines would cost more than the refusals.
    int linesPerPeriod = 10;
    base::Duration period = std::chrono::seconds(1);
    /// Requests that the summary of the others names. Forty ids of 16 characters make a line of some 700 bytes.
    std::size_t maxListedIds = 40;
};

/// The refusals of one code that got no line of their own.
struct RefusalSummary
{
    base::ResultCode code = base::ResultCode::Ok;
    std::uint64_t count = 0;
    std::string requests; ///< The first ids, separated by commas.

    auto operator<=>(const RefusalSummary &) const = default;
};

/// Says which refusals are logged one by one and which in a summary each period, so that the volume of the log is
/// bounded by the number of result codes, not by the load.
class RefusalLog
{
public:
    explicit RefusalLog(const base::Clock &clock, const RefusalLogSettings &settings = {});

    /// Whether the refusal of `request` gets a line of its own; otherwise it goes into the next summary.
    bool record(base::ResultCode code, const std::string &request);

    /// Summaries of periods that have ended. Call about once a period.
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
