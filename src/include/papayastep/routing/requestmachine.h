#pragma once

#include "papayastep/base/statechart.h"

/// The life of a request at its entry, as src/routing/request.json draws it.
namespace papayastep::routing {

enum class RequestState {
    Received,
    Admitted, ///< Has a token and waits for a place.
    Claiming, ///< Asks the home of its idempotency key.
    Placed, ///< An attempt is on its way.
    Acknowledged, ///< A serving node has the attempt.
    Cancelling, ///< Asked the serving node whether the attempt can still be stopped.
    Answered,
    Refused, ///< Told the caller not-run.
    Unknown, ///< Told the caller that the outcome is unknown.
};

enum class RequestEvent {
    Admit,
    Claim,
    ClaimGranted,
    Place,
    Acknowledge,
    Retry, ///< The attempt is given up and another may follow.
    Cancel,
    CancelFailed, ///< It has started: wait for its answer.
    Answer,
    Refuse,
    LoseTrack, ///< The caller is told `unknown`.
};

/// Reads and checks the embedded chart. Throws Error(StateChartInvalid): call it at program start.
std::shared_ptr<const base::StateChart> requestChart();

/// One request's state.
class RequestMachine : public base::StateMachine<RequestState, RequestEvent>
{
public:
    RequestMachine();
};

}
