#pragma once

#include "papayastep/routing/idempotencyhome.h"
#include "papayastep/wire/message.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

/// The messages between the entries and homes of idempotency keys. Durations are in nanoseconds, counted from the
/// sending of the message.
namespace papayastep::routing {

/// A backend server's answer in the form that the ledger keeps.
struct StoredAnswer
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::size_t bytes() const;

    auto operator<=>(const StoredAnswer &) const = default;
    MSGPACK_DEFINE(status, headers, body)
};

/// The state of the request in a ledger record.
enum class RecordState : std::uint8_t {
    Running, ///< An entry received the verdict Run and has not reported the end of the run.
    Answered,
    AnswerDropped, ///< The request ran; its answer was too large to keep.
    Unknown, ///< The request may have run.
    Released, ///< The request did not run, and the key may be used again.
};

/// One record of the ledger, in transfer to another home.
struct LedgerRecord
{
    KeyHash key;
    base::WorkspaceId workspace;
    base::ServiceId service;
    base::RequestId request; ///< The request whose claim received the verdict Run.
    BodyDigest digest;
    std::uint8_t state = 0; ///< RecordState.
    std::int64_t remaining = 0; ///< Time until the request's deadline (Running, Released) or the end of the retention.
    std::int64_t retention = 0;
    StoredAnswer answer;

    auto operator<=>(const LedgerRecord &) const = default;
    MSGPACK_DEFINE(key, workspace, service, request.high, request.low, digest, state, remaining, retention, answer)
};

/// Request of an entry to the home for permission to run a request. It is resent until it is answered; the same request
/// id gets the same verdict.
struct LedgerClaim
{
    base::RequestId request;
    base::WorkspaceId workspace;
    base::ServiceId service;
    KeyHash key;
    BodyDigest digest;
    std::int64_t keyTime = 0; ///< Time of a UUIDv7 key in nanoseconds since 1970, 0 for any other key.
    std::int64_t remaining = 0; ///< Time until the request's deadline.
    std::int64_t retention = 0;
    base::Revision revision = 0; ///< Revision by which the entry chose the home.

    auto operator<=>(const LedgerClaim &) const = default;
    MSGPACK_DEFINE(request.high, request.low, workspace, service, key, digest, keyTime, remaining, retention, revision)
};

/// The decision of a home on a claim.
enum class ClaimVerdict : std::uint8_t {
    Run,
    Answer, ///< The request has run, and its answer is included.
    Refuse,
};

/// Answer of the home to a claim.
struct LedgerClaimResult
{
    base::RequestId request;
    std::uint8_t verdict = 0; ///< ClaimVerdict.
    int code = 0; ///< With the verdict Refuse, this and the next three members are those of Refusal.
    std::uint8_t outcome = 0;
    std::uint8_t retryClass = 0;
    std::int64_t retryAfter = 0;
    StoredAnswer answer;

    auto operator<=>(const LedgerClaimResult &) const = default;
    MSGPACK_DEFINE(request.high, request.low, verdict, code, outcome, retryClass, retryAfter, answer)
};

/// Report of an entry to the home on how the run ended. It is resent until it is acknowledged.
struct LedgerComplete
{
    LedgerRecord record;
    base::Revision revision = 0;

    auto operator<=>(const LedgerComplete &) const = default;
    MSGPACK_DEFINE(record, revision)
};

/// Acknowledgement of a report by the home.
struct LedgerCompleteResult
{
    base::RequestId request;

    auto operator<=>(const LedgerCompleteResult &) const = default;
    MSGPACK_DEFINE(request.high, request.low)
};

/// Request of a new home to an earlier one for the records whose home is the sender under `revision`. The receiver
/// stops being home for this service until it holds that revision itself. The records are fetched page by page.
struct LedgerFetch
{
    base::ServiceId service;
    /// The service that the records belong to at the earlier home. It differs from `service` if a route has moved.
    base::ServiceId sourceService;
    base::Revision revision = 0;
    base::Revision previousRevision = 0; ///< The revision that the requester held before; 0 after a start.
    base::Incarnation incarnation = 0; ///< Incarnation of the requester.
    std::vector<base::VmId> vms; ///< VMs of the service under `revision`, which determine the homes of keys.
    KeyHash after; ///< Only records with greater keys are requested.

    auto operator<=>(const LedgerFetch &) const = default;
    MSGPACK_DEFINE(service, sourceService, revision, previousRevision, incarnation, vms, after)
};

/// A page of records for the requester of a fetch.
struct LedgerFetchResult
{
    base::ServiceId service;
    base::ServiceId sourceService;
    base::Revision revision = 0; ///< Revision of the fetch.
    base::Incarnation incarnation = 0; ///< Incarnation of the requester.
    KeyHash after; ///< As in the fetch.
    std::vector<LedgerRecord> records;
    bool last = false;
    bool hasFullHandOver = false; ///< The sender holds the whole hand-over of the requester's earlier process.
    bool sawEarlierProcess = false; ///< The sender has received messages of an earlier process of the requester.
    std::int64_t age = 0; ///< Age of the sending process.
    std::int64_t memberFor = 0; ///< Time for which the sender has been a VM of the service.
    std::int64_t lostAgo = -1; ///< Time since the sender may have lost records; -1: not within the retention.
    std::vector<base::VmId> possibleHomes; ///< VMs that may have been home too, as far as the sender has recorded.

    auto operator<=>(const LedgerFetchResult &) const = default;
    MSGPACK_DEFINE(service,
                   sourceService,
                   revision,
                   incarnation,
                   after,
                   records,
                   last,
                   hasFullHandOver,
                   sawEarlierProcess,
                   age,
                   memberFor,
                   lostAgo,
                   possibleHomes)
};

/// Part of the hand-over from a stopping home to the next one. Parts are numbered and each is acknowledged; then a last
/// part follows. The last part names the process that acknowledged all others: if that process restarts, the new one
/// may hold parts that were resent, but not what the old one granted since, and must not act for the stopped home.
struct LedgerHandOver
{
    base::ServiceId service;
    base::Incarnation incarnation = 0; ///< Incarnation of the stopping home.
    std::uint32_t part = 0;
    bool last = false;
    std::vector<LedgerRecord> records;
    std::int64_t lostAgo = -1; ///< As in LedgerFetchResult.
    std::vector<base::VmId> vms; ///< With `last`: the VMs of the service by which the next homes were chosen.
    base::Incarnation receiver = 0; ///< With `last`: the process that acknowledged every part.

    auto operator<=>(const LedgerHandOver &) const = default;
    MSGPACK_DEFINE(service, incarnation, part, last, records, lostAgo, vms, receiver)
};

/// Acknowledgement of a part of a hand-over.
struct LedgerHandOverResult
{
    base::ServiceId service;
    base::Incarnation incarnation = 0;
    std::uint32_t part = 0;
    base::Incarnation receiver = 0; ///< The process that received the part.

    auto operator<=>(const LedgerHandOverResult &) const = default;
    MSGPACK_DEFINE(service, incarnation, part, receiver)
};

}
