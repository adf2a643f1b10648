#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/routing/serverannouncement.h"

#include <cstdint>
#include <map>
#include <vector>

namespace papayastep::model {

/// Compares the requests that backend servers receive with what they announced, as the operators' platform judges it:
/// from a limit that is named for three seconds, at most one and a half times what it allows and five requests more may
/// arrive in any four seconds; two seconds after a node has passed an announced end on, none may arrive from that node.
///
/// Servers and nodes are numbered. Times must not decrease from call to call.
class AnnouncementCheck
{
public:
    /// Records that the node `entry` passed an answer of the server on.
    void recordAnswer(std::size_t server,
                      std::size_t entry,
                      const routing::ServerAnnouncement &announcement,
                      base::TimePoint now);
    /// Records that a request reached the server, which its caller sent to the node `entry` at `sentAt`.
    void recordArrival(std::size_t server, std::size_t entry, base::TimePoint sentAt, base::TimePoint now);

    /// Returns the largest number of requests in any four seconds as a fraction of what the limit allows.
    double limitUsed() const;
    std::uint64_t requestsAfterEnd() const;

private:
    struct Server
    {
        std::optional<double> requestsPerSecond; ///< As last named.
        base::TimePoint namedSince; ///< First answer that named the limit.
        std::map<std::size_t, base::TimePoint> toldLimit; ///< First answer of each node that named the limit.
        std::map<std::size_t, base::TimePoint> toldEnd; ///< First answer of each node that announced the end.
        std::vector<base::TimePoint> counted; ///< Requests that count towards the limit.
        double limitUsed = 0;
    };

    std::map<std::size_t, Server> m_servers;
    std::uint64_t m_requestsAfterEnd = 0;
};

}
