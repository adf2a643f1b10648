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

struct LedgerSettings
{
    std::size_t maxBytes = 8u << 20; ///< All records together.
    std::size_t maxBytesOfWorkspace = 2u << 20; ///< So that one workspace can't fill the ledger for all.
    std::size_t maxAnswerBytes = 64u << 10; ///< Larger answers are not kept.
    base::Duration unknownAfter = std::chrono::seconds(2); ///< After its deadline a run without report is unknown.
    base::Duration maxKeyAhead = std::chrono::seconds(20); ///< A UUIDv7 key may be this far in the future.
    base::Duration clockSkew = std::chrono::seconds(5); ///< Largest difference between two nodes' calendar clocks.
    base::Duration resendEvery = std::chrono::milliseconds(100);
    base::Duration claimTimeout = std::chrono::seconds(2); ///< At the entry: then the home is unreachable.
    base::Duration askNextAfter = std::chrono::milliseconds(250); ///< At the entry: then the next home is asked too.
    base::Duration fetchTimeout = std::chrono::seconds(1); ///< Claims wait this long for a fetch, then are refused.
    base::Duration completeTimeout = std::chrono::seconds(30); ///< At the entry: then a report is given up.
    /// At the entry: an answer waits this long for its report's acknowledgement. Longer than askNextAfter, so that the
    /// next home of one that has stopped is heard too.
    base::Duration recordTimeout = std::chrono::seconds(1);
    std::size_t maxPartBytes = 48u << 10; ///< Of one message with records.
    /// A first installation: no process has served keys before. Without it a new fleet refuses random keys for one
    /// retention, since it can't tell its first start from a restart of all nodes. It has no effect where a sibling
    /// has run for longer than this process. Set for a fleet that restarts as a whole, a repeat runs again.
    bool noEarlierRuns = false;
};

/// What a home answers to a claim.
struct ClaimAnswer
{
    ClaimVerdict verdict = ClaimVerdict::Refuse;
    StoredAnswer answer; ///< With Answer.
    Refusal refusal; ///< With Refuse.

    auto operator<=>(const ClaimAnswer &) const = default;
};

/// The records of one home, in bounded memory. Nothing is forgotten before its retention is over: a full ledger
/// refuses new keys instead.
class IdempotencyLedger
{
public:
    IdempotencyLedger(const base::Clock &clock, LedgerSettings settings);

    /// What the records say about `claim`; nothing where they don't know its key, or it was released.
    std::optional<ClaimAnswer> lookUp(const LedgerClaim &claim) const;

    /// Records that `claim` runs and says so, or refuses because there is no room.
    ClaimAnswer grant(const LedgerClaim &claim);

    /// Notes how a run ended. A report about another request than the one recorded changes nothing. False: the run
    /// is not recorded and there is no room to record it now.
    bool complete(const LedgerRecord &report);

    /// Takes a record of another home. The one that knows more wins. False: no room, and nothing was taken.
    bool merge(const LedgerRecord &record);

    /// Records with keys after `after`, in order, that `wanted` accepts, up to about maxPartBytes. Sets `last`.
    std::vector<LedgerRecord> page(const KeyHash &after,
                                   const std::function<bool(const KeyHash &, const base::ServiceId &)> &wanted,
                                   bool &last) const;

    std::optional<LedgerRecord> record(const KeyHash &key) const;
    bool contains(const KeyHash &key) const;

    /// Forgets some records whose retention is over. Call about once a second.
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
        base::TimePoint until; ///< Deadline of the run, or end of the retention.
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
