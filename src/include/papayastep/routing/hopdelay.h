#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"

#include <cstdint>
#include <map>

namespace papayastep::routing {

/// When a message left its sender, by the sender's own monotonic clock.
struct SentStamp
{
    base::VmId sender;
    base::Incarnation incarnation = 0;
    base::Duration sent{0}; ///< TimePoint::time_since_epoch() at the sender.

    auto operator<=>(const SentStamp &) const = default;
};

/// How long a message was under way, without synchronised clocks.
///
/// A hop says how much time is left, counted from when it was sent. If it is held up (a paused process, a network
/// that delivers late) the receiver would take an old request for a new one and run it after its entry has given
/// up. The quickest message of a sender so far gives the difference of the two clocks; what a later one takes
/// longer is its delay. It is never overstated by more than the drift allowed for.
class HopDelay
{
public:
    explicit HopDelay(const base::Clock &clock);

    /// The delay of a message that arrives now, at minimum 0. The first of an incarnation counts as not delayed.
    base::Duration observe(const SentStamp &stamp);

    /// Forgets senders not heard for an hour. Call now and then.
    void tick();

    std::size_t size() const;

private:
    struct Offset
    {
        base::Duration minimum{0}; ///< Arrival minus sent.
        base::TimePoint since;
        base::TimePoint lastReceived;
    };

    const base::Clock &m_clock;
    std::map<std::pair<base::VmId, base::Incarnation>, Offset> m_offsets;
};

}
