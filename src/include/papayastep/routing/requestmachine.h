#pragma once

#include "papayastep/base/statechart.h"

/// The states of a request at its entry, as defined by the state chart src/routing/request.json.
namespace papayastep::routing {

/// The states of a request, in the order of their names in requestChart().
enum class RequestState {
    Received,
    Admitted, ///< The request has a token and waits for placement.
    Claiming, ///< The entry claims the idempotency key at its home.
    Placed, ///< An attempt was sent and is not acknowledged yet.
    Acknowledged, ///< A serving node has the attempt.
    Cancelling, ///< The entry has sent a cancel to the serving node and waits for its answer.
    Answered,
    Refused, ///< The caller received the outcome not-run.
    Unknown, ///< The caller was told that the outcome is unknown.
};

/// The events of a request, in the order of their names in requestChart().
enum class RequestEvent {
    Admit,
    Claim,
    ClaimGranted,
    Place,
    Acknowledge,
    Retry, ///< The attempt is abandoned and another may follow.
    Cancel,
    CancelFailed, ///< The attempt has started, so its answer is awaited.
    Answer,
    Refuse,
    LoseTrack, ///< The caller is told that the outcome is unknown.
};

/// Reads and checks the embedded chart. To be called at program start. Throws Error(StateChartInvalid).
std::shared_ptr<const base::StateChart> requestChart();

/// The state machine of one request.
class RequestMachine : public base::StateMachine<RequestState, RequestEvent>
{
public:
    RequestMachine();
};

}
