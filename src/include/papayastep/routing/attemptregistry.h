#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"
#include "papayastep/routing/hopdelay.h"

#include <functional>
#include <queue>
#include <string_view>
#include <unordered_map>
#include <vector>

/// The serving node's memory of attempts, which makes `never started, never will` a promise that it can keep.
namespace papayastep::routing {

struct AttemptId
{
    base::RequestId request;
    int attempt = 0;

    auto operator<=>(const AttemptId &) const = default;
};

struct AttemptIdHash
{
    std::size_t operator()(const AttemptId &id) const noexcept;
};

enum class RegistrationResult {
    Accepted,
    Replayed, ///< Seen before: no word on what the first did (HopReplayed, outcome unknown).
    Cancelled, ///< Cancelled before it came (HopCancelled, not-run).
    TooLate, ///< Its deadline passed on the way (HopQueueTimeout, not-run).
    Full, ///< No room to remember it (HopQueueFull, not-run).
};

struct AttemptRegistration
{
    RegistrationResult result = RegistrationResult::Full;
    base::TimePoint deadline; ///< By this node's clock, with the delay under way taken off.

    auto operator<=>(const AttemptRegistration &) const = default;
};

enum class CancelAnswer {
    NeverStarted, ///< And never will.
    Started,
    Done,
    HandedOver, ///< A sibling has it now: pass the cancel on to it, and let it answer the entry.
    Unconfirmed, ///< No room to remember a promise. The entry must treat it as unanswered.
};

std::string_view name(CancelAnswer answer);

struct AttemptRegistrySettings
{
    std::size_t capacity = 100'000; ///< Attempts remembered at once, open and past.
    std::size_t cancelReserve = 5'000; ///< Of those, kept for cancels that overtake their attempt.
};

/// Each attempt is remembered until its request's deadline has surely passed. An attempt or a copy of it that
/// arrives later still is refused by its delay (HopDelay): the cancel or the first copy gave the sender's clock.
class AttemptRegistry
{
public:
    explicit AttemptRegistry(const base::Clock &clock, AttemptRegistrySettings settings = {});

    /// An attempt arrives with `remaining` time, counted from `stamp`. Accepted ones are queued.
    AttemptRegistration registerAttempt(const AttemptId &id, const SentStamp &stamp, base::Duration remaining);

    /// Call right before the first byte goes to the backend server. False: it was cancelled or its deadline has
    /// passed, and it must not run.
    bool start(const AttemptId &id);

    /// The attempt was taken out of the queue and will never start (shed, queue timeout).
    void drop(const AttemptId &id);

    /// The attempt is given to a sibling; call before the first byte goes to it. False: it was cancelled, so don't.
    /// If the sibling refuses it as not-run, call drop().
    bool handOver(const AttemptId &id);

    /// The backend server has answered, or the connection to it is closed.
    void finish(const AttemptId &id);

    /// The entry asks to cancel. The attempt may not have come yet.
    CancelAnswer cancel(const AttemptId &id, const SentStamp &stamp, base::Duration remaining);

    /// Forgets attempts whose deadline has surely passed. Called by the above too.
    void tick();

    std::size_t size() const;

private:
    enum class State { Queued, Started, Done, HandedOver, NeverStarts };

    struct Entry
    {
        State state = State::Queued;
        base::TimePoint deadline;
    };
    struct Expiry
    {
        base::TimePoint at;
        AttemptId id;

        auto operator<=>(const Expiry &) const = default;
    };
    using ExpiryQueue = std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>>;

    void remember(const AttemptId &id, State state, base::TimePoint deadline);

    const base::Clock &m_clock;
    AttemptRegistrySettings m_settings;
    HopDelay m_delay;
    std::unordered_map<AttemptId, Entry, AttemptIdHash> m_entries;
    ExpiryQueue m_expiry;
};

}
