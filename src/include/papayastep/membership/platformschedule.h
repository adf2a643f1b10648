#pragma once

#include "papayastep/base/clock.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <random>

namespace papayastep::membership {

struct DistributionSettings;

enum class PlatformCallKind { None, Read, Watch };

/// What to ask of the platform next. Re-ask at least once a second while waiting: a change of the VM list may make a
/// node a reader or end that.
struct PlatformCall
{
    PlatformCallKind kind = PlatformCallKind::None;
    base::TimePoint notBefore{};
    std::uint64_t after = 0; ///< The revision or version that the answer must exceed; 0 of a read: any will do.
    std::chrono::seconds wait{0};

    auto operator<=>(const PlatformCall &) const = default;
};

/// When to read one of the platform's two things. A reader alternates between a watch, which brings news at once, and
/// a plain read: a watch that ends empty does not tell a platform without news from one that has gone stale.
class PlatformSchedule
{
public:
    /// `settings` must outlive the schedule.
    explicit PlatformSchedule(const DistributionSettings &settings);

    PlatformCall call(bool reader, std::uint64_t after) const;

    /// A plain read was answered. All nodes that are no readers share `pollsPerSecond`, so the interval grows with the
    /// fleet.
    void readAnswered(base::TimePoint now, std::size_t fleet, std::mt19937_64 &random);
    void watchEnded();
    /// There is news: the next call is a read, and due now.
    void requestRead();
    /// Waits a random part of a growing time, so that the fleet does not fall upon a platform that comes back.
    void failed(base::TimePoint now, std::mt19937_64 &random);

private:
    const DistributionSettings &m_settings;
    base::TimePoint m_pollAt{};
    base::TimePoint m_backoffUntil{};
    base::Duration m_backoff{};
    bool m_watchNext = false;
};

}
