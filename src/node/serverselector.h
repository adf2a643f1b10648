#pragma once

#include "papayastep/net/signal.h"
#include "papayastep/node/servingnode.h"
#include "papayastep/routing/slotsurvey.h"

#include <memory>
#include <variant>

namespace papayastep::node {

/// The requirements of a request for its server.
struct ServerRequirements
{
    base::ServiceId service;
    base::WorkspaceId workspace;
    base::RouteId route;
    int priority = 0; ///< 0 is the most urgent.
    bool idempotent = false;
    bool isRepeat = false; ///< An earlier attempt reached, or may have reached, a backend server.
    bool isCall = false; ///< The request is a call of an attempt that runs at a backend server of this VM.
    base::TimePoint deadline;
    std::optional<base::TimePoint> targetTime; ///< Time after which the answer is worth less to the caller.
};

/// The server chosen for an attempt.
struct ChosenServer
{
    routing::Candidate candidate;
    std::string_view reason; ///< Reason of the choice, for the log.
    bool lastResort = false; ///< All other servers are held back as gray, so this server must accept the attempt even
                             ///< if it is held back.
    bool followsAdvice = false; ///< The server was suggested by the node of another server.
    std::size_t nodesAsked = 0; ///< Number of nodes that were asked for a slot.
    routing::SurveyTally surveyTally; ///< Answers to the survey, logged with lastResort.
    base::Duration medianLatency{0}; ///< Median latency of the service's servers; 0 if unknown.
};

/// The reason why no server was chosen.
struct NoServer
{
    base::ResultCode code = base::ResultCode::NoBackendServer;
    base::Duration retryAfter{0};
    routing::SurveyTally surveyTally{}; ///< Answers to the survey; empty if no node was asked.
};

/// Selects the server for each attempt of one request, taking the results of the previous attempts into account.
class ServerSelector
{
public:
    ServerSelector(NodeContext &context, ServingNode &serving, const base::RequestId &request, net::Signal &changed);

    /// Asks the nodes of several servers for free slots, or chooses by local estimates, depending on the settings.
    /// Returns early, with an arbitrary result, once `callerGone` is set.
    net::Awaitable<std::variant<ChosenServer, NoServer>> choose(const ServerRequirements &need, const bool &callerGone);

    /// Takes an answer to a question of choose().
    void slotOffered(const wire::SlotOffer &offer);

    /// Records the result of an attempt at `server`. `advice` is the server that its node suggested instead, or empty.
    void recordResult(const base::BackendServerId &server,
                      const routing::AttemptResult &result,
                      const base::BackendServerId &advice);

private:
    using Result = std::variant<ChosenServer, NoServer>;

    routing::PlacementRequest placementRequest(const ServerRequirements &need) const;
    Result chooseByEstimates(const ServerRequirements &need);
    net::Awaitable<Result> chooseBySurvey(const ServerRequirements &need, const bool &callerGone);
    void ask(const ServerRequirements &need, const routing::Candidate &candidate);
    void recordSilentNodes() const;
    bool wasTried(const base::BackendServerId &server) const;

    NodeContext &m_context;
    ServingNode &m_serving;
    const base::RequestId m_request;
    net::Signal &m_changed;
    std::unique_ptr<routing::SlotSurvey> m_survey; ///< Null if no survey is running.
    std::vector<base::BackendServerId> m_tried; ///< Servers that are not asked again.
    base::BackendServerId m_advice;
    int m_ejectedRefusals = 0; ///< Number of attempts that were refused because their server was ejected.
};

}
