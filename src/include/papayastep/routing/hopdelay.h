#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"

#include <cstdint>
#include <map>

namespace papayastep::routing {

/// The time at which a message left its sender, by the sender's own monotonic clock.
struct SentStamp
{
    base::VmId sender;
    base::Incarnation incarnation = 0;
    base::Duration sent{0}; ///< TimePoint::time_since_epoch() of the sender's clock.

    auto operator<=>(const SentStamp &) const = default;
};

/// Estimates how long a message was in transit, without synchronised clocks.
///
/// A hop carries its remaining time, counted from when it was sent. If it is delayed (by a paused process or a network
/// that delivers late), the receiver would treat an old request as a new one and run it after its entry has given up.
/// The fastest message of a sender so far gives the difference between the two clocks; the additional time of a later
/// message is its delay. The estimate exceeds the true delay by at most the allowance for clock drift.
class HopDelay
{
public:
    explicit HopDelay(const base::Clock &clock);

    /// Returns the delay of a message that arrives now, at least 0. The first message of an incarnation counts as not
    /// delayed.
    base::Duration observe(const SentStamp &stamp);

    /// Removes senders from which no message has arrived for an hour. To be called from time to time.
    void tick();

    std::size_t size() const;

private:
    struct Offset
    {
        base::Duration minimum{0}; ///< Smallest difference between arrival time and sending time.
        base::TimePoint since;
        base::TimePoint lastReceived;
    };

    const base::Clock &m_clock;
    std::map<std::pair<base::VmId, base::Incarnation>, Offset> m_offsets;
};

}
