#pragma once

#include "papayastep/base/clock.h"

#include <cstddef>
#include <optional>

namespace papayastep::limits {

/// Limits the starts of attempts at one backend server to the rate that the server names in its answers.
///
/// Starts are spaced by a token bucket that holds a quarter of a second's worth, and at least one start, so that a
/// server in need gets no burst after a pause. Tokens do not accrue before the limit is known.
class StartRateLimiter
{
public:
    explicit StartRateLimiter(const base::Clock &clock);

    /// Sets the limit in starts per second; empty if there is none. A server that takes nothing reports nothing, so it
    /// gets one start in five seconds at least, by which it can report that the limit has ended.
    void setRate(std::optional<double> startsPerSecond);
    /// The limit as it was set.
    std::optional<double> rate() const;

    void recordStart();

    /// Time until an attempt can start if `ahead` other ones start before it; 0 if the limit does not delay it.
    base::Duration wait(std::size_t ahead) const;

private:
    double effectiveRate() const;
    double capacity() const;
    double tokens() const;

    const base::Clock &m_clock;
    std::optional<double> m_rate;
    double m_tokens = 0; ///< At m_updatedAt; negative if more attempts started than the limit allows.
    base::TimePoint m_updatedAt;
};

}
