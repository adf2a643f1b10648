#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/routing/attemptregistry.h"
#include "papayastep/routing/idempotencyhome.h"
#include "papayastep/wire/message.h"

#include <cstdint>
#include <map>
#include <set>

/// Limits the number of backend servers that one request may end.
namespace papayastep::routing {

/// A backend server ended while it ran an attempt of a request.
struct ServerEnd
{
    RequestDigest request;
    AttemptId attempt;
    base::TimePoint sentAt; ///< Time at which the attempt was sent.
    /// The attempt is known to have been sent after an earlier end under the request. Set by the node that sent it,
    /// since notices that are delayed arrive together.
    bool followsEnd = false;

    auto operator<=>(const ServerEnd &) const = default;
};

/// MessageKind::ServerEndNotice, from an entry to the nodes beside the servers of a service: a server ended under a
/// request, or a request that had ended servers has run to its end.
struct ServerEndNotice
{
    RequestDigest request;
    std::uint64_t requestHigh = 0; ///< Id of the attempt under which the server ended.
    std::uint64_t requestLow = 0;
    std::uint32_t attempt = 0;
    std::uint32_t ageMs = 0; ///< Time since the attempt was sent.
    bool followsEnd = false; ///< The same as in ServerEnd.
    bool hasRun = false; ///< The request has run to its end; the fields of the attempt are not set.

    auto operator<=>(const ServerEndNotice &) const = default;
    MSGPACK_DEFINE(request, requestHigh, requestLow, attempt, ageMs, followsEnd, hasRun)
};

/// What ServerEndTable::record() has counted.
struct ServerEndCount
{
    std::size_t ends = 0; ///< Number of servers that count as ended under the request.
    bool followsEnd = false; ///< The recorded end was counted, and others before it.

    auto operator<=>(const ServerEndCount &) const = default;
};

struct ServerEndSettings
{
    std::size_t allowedEnds = 3;
    base::Duration memory = std::chrono::minutes(10); ///< Time after the last end until a request may run again.
    std::size_t maxRequests = 1024; ///< Bound of the memory that callers can make a node use.
};

/// Counts since the start.
struct ServerEndCounters
{
    std::uint64_t ends = 0; ///< Ends of servers under requests, without those that count as one with an earlier one.
    std::uint64_t refused = 0; ///< Attempts refused because their request has ended too many servers.

    auto operator<=>(const ServerEndCounters &) const = default;
};

/// The requests under which backend servers ended.
///
/// A request that makes each server that runs it fail would end a whole service, as it is repeated by its entry and its
/// caller. Nothing shows which of the requests that ran on a server ended it. A request that is not the cause runs to
/// its end elsewhere and is forgotten then.
class ServerEndTable
{
public:
    explicit ServerEndTable(const base::Clock &clock, const ServerEndSettings &settings = {});

    /// The ends of runs that were open at the same time count as one: a rack or a zone that fails ends several servers
    /// that run the same frequent request.
    ServerEndCount record(const ServerEnd &end);

    /// Forgets a request that has run to its end. Returns whether it was remembered.
    bool recordRun(const RequestDigest &request);

    /// Handles the notice of another node.
    void apply(const ServerEndNotice &notice);

    /// Returns whether the request may be sent to a server. Counts a refusal otherwise. `furtherEnds` is the number of
    /// ends that are not recorded here.
    bool admit(const RequestDigest &request, std::size_t furtherEnds = 0);

    /// Whether no request is remembered, so that no digest need be computed.
    bool isEmpty() const;

    /// Number of requests that are refused now.
    std::size_t refusedRequests() const;
    const ServerEndCounters &counters() const;

    /// Removes what is outdated.
    void expire();

private:
    struct Entry
    {
        std::set<AttemptId> attempts; ///< All attempts under which servers ended, so that each is counted once.
        std::size_t ends = 0;
        base::TimePoint lastEnd;
    };

    bool isRefused(const Entry &entry, std::size_t furtherEnds = 0) const;
    Entry &entryOf(const RequestDigest &request);

    const base::Clock &m_clock;
    const ServerEndSettings m_settings;
    std::map<RequestDigest, Entry> m_entries;
    ServerEndCounters m_counters;
};

}
