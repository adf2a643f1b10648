#pragma once

#include "papayastep/routing/idempotencyhome.h"
#include "papayastep/wire/message.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

/// What entries and homes of idempotency keys say to each other. Durations are nanoseconds left when sent.
namespace papayastep::routing {

/// A backend server's answer as the ledger keeps it.
struct StoredAnswer
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::size_t bytes() const;

    auto operator<=>(const StoredAnswer &) const = default;
    MSGPACK_DEFINE(status, headers, body)
};

enum class RecordState : std::uint8_t {
    Running, ///< An entry was told to run it and has not reported.
    Answered,
    AnswerDropped, ///< It ran; its answer was too large to keep.
    Unknown, ///< It may have run.
    Released, ///< It did not run: the key is free again.
};

/// One entry of the ledger, on its way to another home.
struct LedgerRecord
{
    KeyHash key;
    base::WorkspaceId workspace;
    base::ServiceId service;
    base::RequestId request; ///< Of the claim that was told to run.
    BodyDigest digest;
    std::uint8_t state = 0; ///< RecordState.
    std::int64_t remaining = 0; ///< Until the request's deadline (Running, Released) or until it may be forgotten.
    std::int64_t retention = 0;
    StoredAnswer answer;

    auto operator<=>(const LedgerRecord &) const = default;
    MSGPACK_DEFINE(key, workspace, service, request.high, request.low, digest, state, remaining, retention, answer)
};

/// Entry to home: may I run this? Resent until answered; the same request id gets the same verdict.
struct LedgerClaim
{
    base::RequestId request;
    base::WorkspaceId workspace;
    base::ServiceId service;
    KeyHash key;
    BodyDigest digest;
    std::int64_t keyTime = 0; ///< Nanoseconds since 1970 of a UUIDv7 key, 0 for any other.
    std::int64_t remaining = 0; ///< Until the request's deadline.
    std::int64_t retention = 0;
    base::Revision revision = 0; ///< By which the entry chose the home.

    auto operator<=>(const LedgerClaim &) const = default;
    MSGPACK_DEFINE(request.high, request.low, workspace, service, key, digest, keyTime, remaining, retention, revision)
};

enum class ClaimVerdict : std::uint8_t {
    Run,
    Answer, ///< It ran: here is its answer.
    Refuse,
};

/// Home to entry.
struct LedgerClaimResult
{
    base::RequestId request;
    std::uint8_t verdict = 0; ///< ClaimVerdict.
    int code = 0; ///< With Refuse: Refusal, field by field.
    std::uint8_t outcome = 0;
    std::uint8_t retryClass = 0;
    std::int64_t retryAfter = 0;
    StoredAnswer answer;

    auto operator<=>(const LedgerClaimResult &) const = default;
    MSGPACK_DEFINE(request.high, request.low, verdict, code, outcome, retryClass, retryAfter, answer)
};

/// Entry to home: how the run ended. Resent until acknowledged.
struct LedgerComplete
{
    LedgerRecord record;
    base::Revision revision = 0;

    auto operator<=>(const LedgerComplete &) const = default;
    MSGPACK_DEFINE(record, revision)
};

/// Home to entry: noted.
struct LedgerCompleteResult
{
    base::RequestId request;

    auto operator<=>(const LedgerCompleteResult &) const = default;
    MSGPACK_DEFINE(request.high, request.low)
};

/// New home to an earlier one: give me what is mine under `revision`, and stop being home for this service until you
/// hold that revision yourself. Asked page by page.
struct LedgerFetch
{
    base::ServiceId service;
    base::ServiceId
        sourceService; ///< The service that the records belong to at the earlier home; a route may have moved.
    base::Revision revision = 0;
    base::Revision previousRevision = 0; ///< The one that the asker held before; 0 after a start.
    base::Incarnation incarnation = 0; ///< Of the asker.
    std::vector<base::VmId> vms; ///< Of the service under `revision`: who is home of what.
    KeyHash after; ///< Records with greater keys are wanted.

    auto operator<=>(const LedgerFetch &) const = default;
    MSGPACK_DEFINE(service, sourceService, revision, previousRevision, incarnation, vms, after)
};

/// A page of records for the asker.
struct LedgerFetchResult
{
    base::ServiceId service;
    base::ServiceId sourceService;
    base::Revision revision = 0; ///< Of the fetch.
    base::Incarnation incarnation = 0; ///< Of the asker.
    KeyHash after; ///< Of the fetch.
    std::vector<LedgerRecord> records;
    bool last = false;
    bool hasFullHandOver = false; ///< Holds the whole hand-over of the asker's earlier process.
    bool sawEarlierProcess = false; ///< Heard an earlier process of the asker.
    std::int64_t age = 0; ///< Of the answering process.
    std::int64_t memberFor = 0; ///< How long it has been a VM of the service.
    std::int64_t lostAgo = -1; ///< How long ago it may have lost records, -1: not within the retention.
    std::vector<base::VmId> possibleHomes; ///< VMs that may have been home too, as far as it knows.

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

/// A stopping home to the next one: numbered parts, each acknowledged, and then a last one. It names the process that
/// acknowledged all: should that one restart, its new process holds parts that were resent, but not what the old one
/// granted since, and must not act for the stopped home.
struct LedgerHandOver
{
    base::ServiceId service;
    base::Incarnation incarnation = 0; ///< Of the stopping home.
    std::uint32_t part = 0;
    bool last = false;
    std::vector<LedgerRecord> records;
    std::int64_t lostAgo = -1; ///< As in LedgerFetchResult.
    std::vector<base::VmId> vms; ///< With `last`: of the service, by which the next homes were chosen.
    base::Incarnation receiver = 0; ///< With `last`: who acknowledged every part.

    auto operator<=>(const LedgerHandOver &) const = default;
    MSGPACK_DEFINE(service, incarnation, part, last, records, lostAgo, vms, receiver)
};

struct LedgerHandOverResult
{
    base::ServiceId service;
    base::Incarnation incarnation = 0;
    std::uint32_t part = 0;
    base::Incarnation receiver = 0; ///< The process that has it.

    auto operator<=>(const LedgerHandOverResult &) const = default;
    MSGPACK_DEFINE(service, incarnation, part, receiver)
};

}
