#pragma once

#include "papayastep/net/signal.h"
#include "papayastep/node/servingnode.h"
#include "papayastep/routing/slotsurvey.h"

#include <memory>
#include <variant>

namespace papayastep::node {

/// What a request needs of a server.
struct ServerRequirements
{
    base::ServiceId service;
    base::WorkspaceId workspace;
    base::RouteId route;
    int priority = 0; ///< 0 is the most urgent.
    bool idempotent = false;
    bool isCall = false; ///< Of a run at a backend server of this VM.
    base::TimePoint deadline;
    std::optional<base::TimePoint> targetTime; ///< An answer after it is worth less to the caller.
};

struct ChosenServer
{
    routing::Candidate candidate;
    std::string_view reason; ///< For the log.
    bool lastResort = false; ///< Every other one is held back as gray, so this one is to try all the same.
    bool followsAdvice = false; ///< A sibling named it.
    std::size_t nodesAsked = 0; ///< Nodes that were asked for a slot.
    routing::SurveyTally surveyTally; ///< With lastResort: what they said.
    base::Duration medianLatency{0}; ///< Of the service; 0: not known.
};

/// Why no server was chosen.
struct NoServer
{
    base::ResultCode code = base::ResultCode::NoBackendServer;
    base::Duration retryAfter{0};
    routing::SurveyTally surveyTally{}; ///< Nothing, if nobody was asked.
};

/// Finds the server for each attempt of one request, and remembers what became of those before.
class ServerSelector
{
public:
    ServerSelector(NodeContext &context, ServingNode &serving, const base::RequestId &request, net::Signal &changed);

    /// Asks the nodes beside some servers, or goes by what is believed, as the settings say. Ends early, with any
    /// result, once `callerGone` is set.
    net::Awaitable<std::variant<ChosenServer, NoServer>> choose(const ServerRequirements &need, const bool &callerGone);

    /// An answer to a question of choose().
    void slotOffered(const wire::SlotOffer &offer);

    /// How an attempt at `server` ended. `advice`: the sibling that its node named, or empty.
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
    std::unique_ptr<routing::SlotSurvey> m_survey; ///< While one is going on.
    std::vector<base::BackendServerId> m_tried; ///< Not to be asked again.
    base::BackendServerId m_advice;
    int m_ejectedRefusals = 0; ///< Attempts refused because their server was ejected.
};

}
