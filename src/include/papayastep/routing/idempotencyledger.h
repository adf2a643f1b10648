#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/routing/ledgermessages.h"
#include "papayastep/routing/outcome.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace papayastep::routing {

/// Limits and times of the idempotency ledger, at homes and entries.
struct LedgerSettings
{
    std::size_t maxBytes = 8u << 20; ///< Limit for all records together.
    std::size_t maxBytesOfWorkspace = 2u << 20; ///< Limit that keeps one workspace from filling the ledger.
    std::size_t maxAnswerBytes = 64u << 10; ///< Larger answers are not kept.
    /// Time after its deadline when an unreported run is unknown.
    base::Duration unknownAfter = std::chrono::seconds(2);
    base::Duration maxKeyAhead = std::chrono::seconds(20); ///< Limit for how far in the future a UUIDv7 key may be.
    base::Duration clockSkew = std::chrono::seconds(5); ///< Largest difference between two nodes' calendar clocks.
    base::Duration resendEvery = std::chrono::milliseconds(100);
    /// Time after which the entry treats the home as unreachable.
    base::Duration claimTimeout = std::chrono::seconds(2);
    /// Time after which the entry asks the next home too.
    base::Duration askNextAfter = std::chrono::milliseconds(250);
    base::Duration fetchTimeout = std::chrono::seconds(1); ///< Time for which claims wait for a fetch before a refusal.
    base::Duration completeTimeout = std::chrono::seconds(30); ///< Time after which the entry abandons a report.
    /// Time for which the entry holds an answer back until its report is acknowledged. It is longer than askNextAfter,
    /// so that the next home of a home that has stopped can acknowledge the report too.
    base::Duration recordTimeout = std::chrono::seconds(1);
    std::size_t maxPartBytes = 48u << 10; ///< Approximate limit for one message with records.
    /// Declares a first installation, in which no earlier process has served keys. Without it a new fleet refuses
    /// random keys for one retention, since it can't distinguish its first start from a restart of all nodes. It has no
    /// effect where a sibling has run for longer than this process. If it is set for a fleet that restarts as a whole,
    /// a repeat runs again.
    bool noEarlierRuns = false;
};

/// The answer of a home to a claim.
struct ClaimAnswer
{
    ClaimVerdict verdict = ClaimVerdict::Refuse;
    StoredAnswer answer; ///< Set if the verdict is Answer.
    Refusal refusal; ///< Set if the verdict is Refuse.

    auto operator<=>(const ClaimAnswer &) const = default;
};

/// Keeps the records of one home in bounded memory. No record is removed before its retention is over; a full ledger
/// refuses new keys instead.
class IdempotencyLedger
{
public:
    IdempotencyLedger(const base::Clock &clock, LedgerSettings settings);

    /// Returns the answer to `claim` by its record, or nothing if the key has no record or was released.
    std::optional<ClaimAnswer> lookUp(const LedgerClaim &claim) const;

    /// Records that `claim` runs and returns Run, or refuses the claim if there is no room.
    ClaimAnswer grant(const LedgerClaim &claim);

    /// Records how a run ended. A report about another request than the recorded one changes nothing. Returns false if
    /// the run is not recorded and there is no room to record it now.
    bool complete(const LedgerRecord &report);

    /// Merges a record of another home. Of two records for a key, the one with more information is kept. Returns false
    /// if there is no room; nothing is changed then.
    bool merge(const LedgerRecord &record);

    /// Returns the records that `wanted` accepts and whose keys follow `after`, in order, up to about maxPartBytes.
    /// Sets `last` if no more follow.
    std::vector<LedgerRecord> page(const KeyHash &after,
                                   const std::function<bool(const KeyHash &, const base::ServiceId &)> &wanted,
                                   bool &last) const;

    std::optional<LedgerRecord> record(const KeyHash &key) const;
    bool contains(const KeyHash &key) const;

    /// Removes some of the records whose retention is over. To be called about once a second.
    void tick();

    std::size_t size() const;
    std::size_t bytes() const;
    std::size_t bytesOf(const base::WorkspaceId &workspace) const;

private:
    struct Usage
    {
        std::size_t records = 0;
        std::size_t bytes = 0;
    };
    using UsageMap = std::map<base::WorkspaceId, Usage>;

    struct Record
    {
        base::RequestId request;
        BodyDigest digest;
        RecordState state = RecordState::Running;
        base::TimePoint until; ///< Deadline of the run (Running, Released), or end of the retention.
        base::Duration retention{0};
        UsageMap::value_type *workspace = nullptr;
        const base::ServiceId *service = nullptr;
        std::unique_ptr<StoredAnswer> answer;
    };
    using RecordMap = std::map<KeyHash, Record>;

    static std::size_t bytesOf(const Record &record);
    bool hasRoom(const base::WorkspaceId &workspace, std::size_t bytes) const;
    bool isExpired(const Record &record) const;
    RecordState stateOf(const Record &record) const;
    base::TimePoint expiryOf(const Record &record) const;
    LedgerRecord exported(const KeyHash &key, const Record &record) const;
    Record &put(const LedgerRecord &from);
    void setAnswer(Record &record, const LedgerRecord &report);
    RecordMap::iterator erase(RecordMap::iterator position);
    void sweep(std::size_t count);

    const base::Clock &m_clock;
    LedgerSettings m_settings;
    RecordMap m_records;
    UsageMap m_usage;
    std::set<base::ServiceId> m_services;
    std::size_t m_bytes = 0;
    KeyHash m_sweptTo;
};

}
