#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"
#include "papayastep/routing/hopdelay.h"

#include <functional>
#include <queue>
#include <string_view>
#include <unordered_map>
#include <vector>

/// The serving node's record of attempts, by which it can guarantee that a cancelled attempt never starts.
namespace papayastep::routing {

/// Identifies an attempt: the request and the number of the attempt.
struct AttemptId
{
    base::RequestId request;
    int attempt = 0;

    auto operator<=>(const AttemptId &) const = default;
};

/// Hash function for AttemptId.
struct AttemptIdHash
{
    std::size_t operator()(const AttemptId &id) const noexcept;
};

/// The result of the registration of an attempt, with the code and the outcome of the refusal.
enum class RegistrationResult {
    Accepted,
    Replayed, ///< The same attempt arrived before; what became of it is not reported (HopReplayed, outcome unknown).
    Cancelled, ///< The cancel arrived before the attempt (HopCancelled, not-run).
    TooLate, ///< Its deadline passed in transit (HopQueueTimeout, not-run).
    Full, ///< The registry has no room to record it (HopQueueFull, not-run).
};

/// The result of a registration and the deadline of the attempt.
struct AttemptRegistration
{
    RegistrationResult result = RegistrationResult::Full;
    base::TimePoint deadline; ///< By this node's clock, less the delay in transit.

    auto operator<=>(const AttemptRegistration &) const = default;
};

/// The answer of a serving node to a cancel.
enum class CancelAnswer {
    NeverStarted, ///< The attempt has not started and never will.
    Started,
    Done,
    HandedOver, ///< A sibling has the attempt: the cancel is to be forwarded to it, and it answers the entry.
    Unconfirmed, ///< The registry has no room to record the cancel. The entry must treat the cancel as unanswered.
};

std::string_view name(CancelAnswer answer);

/// Limits of an AttemptRegistry.
struct AttemptRegistrySettings
{
    std::size_t capacity = 100'000; ///< Largest number of records, of open and past attempts together.
    std::size_t cancelReserve = 5'000; ///< Part of the capacity reserved for cancels that arrive before their attempt.
};

/// Records the attempts that a serving node has received, so that none runs twice and none runs after its cancel.
///
/// Each attempt is recorded until its request's deadline has certainly passed. An attempt or a copy of it that arrives
/// after that is refused because of its delay (HopDelay), as the cancel or the first copy carried the sender's clock.
class AttemptRegistry
{
public:
    explicit AttemptRegistry(const base::Clock &clock, AttemptRegistrySettings settings = {});

    /// Registers an attempt that arrives with `remaining` time, counted from `stamp`. An accepted attempt counts as
    /// queued.
    AttemptRegistration registerAttempt(const AttemptId &id, const SentStamp &stamp, base::Duration remaining);

    /// Marks the attempt as started; called right before the first byte is sent to the backend server. Returns false if
    /// it was cancelled or its deadline has passed; it must not run then.
    bool start(const AttemptId &id);

    /// Records that the attempt was removed from the queue and will never start (shed, queue timeout).
    void drop(const AttemptId &id);

    /// Records that the attempt is handed over to a sibling; called before the first byte is sent to it. Returns false
    /// if the attempt was cancelled; it must not be handed over then. If the sibling refuses it as not-run, call
    /// drop().
    bool handOver(const AttemptId &id);

    /// Records that the backend server has answered, or that the connection to it is closed.
    void finish(const AttemptId &id);

    /// Handles a cancel from the entry. The attempt may not have arrived yet.
    CancelAnswer cancel(const AttemptId &id, const SentStamp &stamp, base::Duration remaining);

    /// Removes attempts whose deadline has certainly passed. registerAttempt() and cancel() call it too.
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
