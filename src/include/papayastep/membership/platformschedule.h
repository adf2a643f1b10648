#pragma once

#include "papayastep/base/clock.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <random>

namespace papayastep::membership {

struct DistributionSettings;

/// The kind of a call of the platform: none, a plain read, or a watch, which waits for a change.
enum class PlatformCallKind { None, Read, Watch };

/// The next call of the platform. Must be computed again at least once a second while waiting: a change of the VM list
/// may make the node a reader, or no longer one.
struct PlatformCall
{
    PlatformCallKind kind = PlatformCallKind::None;
    base::TimePoint notBefore{};
    /// The revision or version that the answer must exceed; 0 if any answer to a read will do.
    std::uint64_t after = 0;
    std::chrono::seconds wait{0};

    auto operator<=>(const PlatformCall &) const = default;
};

/// Decides when to read the configuration or the VM list from the platform. A reader alternates between a watch, which
/// returns changes at once, and a plain read: a watch that ends without a change does not show whether the platform is
/// unchanged or serves stale data.
class PlatformSchedule
{
public:
    /// `settings` must outlive this object.
    explicit PlatformSchedule(const DistributionSettings &settings);

    PlatformCall call(bool reader, std::uint64_t after) const;

    /// Records the answer to a plain read. All nodes that are not readers share `pollsPerSecond`, so the interval grows
    /// with the fleet.
    void readAnswered(base::TimePoint now, std::size_t fleet, std::mt19937_64 &random);
    void watchEnded();
    /// Records that something new can be read: the next call is a read and due now.
    void requestRead();
    /// Records a failed call. Waits for a random part of a growing time, so that the nodes of a fleet do not all call
    /// at once when the platform recovers.
    void failed(base::TimePoint now, std::mt19937_64 &random);

private:
    const DistributionSettings &m_settings;
    base::TimePoint m_pollAt{};
    base::TimePoint m_backoffUntil{};
    base::Duration m_backoff{};
    bool m_watchNext = false;
};

}
