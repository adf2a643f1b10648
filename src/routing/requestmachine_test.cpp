#include "papayastep/base/error.h"
#include "papayastep/routing/requestmachine.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::routing;

namespace {

struct RequestMachineFixture
{
    RequestMachine machine;

    void handle(std::initializer_list<RequestEvent> events)
    {
        for (const RequestEvent event : events) {
            machine.handle(event);
        }
    }
};

}

BOOST_FIXTURE_TEST_CASE(requestMachine_withKeyAndRetry_reachesItsAnswer, RequestMachineFixture)
{
    handle({RequestEvent::Admit, RequestEvent::Claim, RequestEvent::ClaimGranted, RequestEvent::Place});
    handle({RequestEvent::Acknowledge, RequestEvent::Cancel, RequestEvent::Retry, RequestEvent::Place});
    handle({RequestEvent::Acknowledge, RequestEvent::Answer});
    BOOST_TEST(machine.isFinal());
    BOOST_TEST(machine.stateName() == "answered");
}

// A lookup is not acknowledged by its serving node, and no retry is left, so its answer is awaited. A chart without a
// transition for this would close the caller's connection without an answer.
BOOST_FIXTURE_TEST_CASE(requestMachine_waitingBeforeTheAcknowledgement_staysPlaced, RequestMachineFixture)
{
    handle({RequestEvent::Admit, RequestEvent::Place, RequestEvent::CancelFailed});
    BOOST_TEST((machine.state() == RequestState::Placed));
    handle({RequestEvent::Acknowledge, RequestEvent::Answer});
    BOOST_TEST(machine.isFinal());
}

// The answer of an attempt arrives after its caller was told that the outcome is unknown. The caller would treat a
// second answer on the same connection as the answer to its next request.
BOOST_FIXTURE_TEST_CASE(requestMachine_inAFinalState_ignoresLateEvents, RequestMachineFixture)
{
    handle({RequestEvent::Admit, RequestEvent::Place, RequestEvent::LoseTrack});
    BOOST_TEST(!machine.handle(RequestEvent::Answer));
    BOOST_TEST(!machine.handle(RequestEvent::Acknowledge));
    BOOST_TEST((machine.state() == RequestState::Unknown));
}

// A fault in the node places a request that was refused, so that a refused refund would be paid.
BOOST_FIXTURE_TEST_CASE(requestMachine_afterRefusal_cannotBePlaced, RequestMachineFixture)
{
    handle({RequestEvent::Admit, RequestEvent::Refuse});
    BOOST_CHECK_THROW(machine.handle(RequestEvent::Place), base::Error);
}
