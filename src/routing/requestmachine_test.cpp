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

// A lookup is silent before its serving node has acknowledged it, and no retry is left, so it is awaited. A chart that
// knows no such wait cuts the caller's connection without an answer.
BOOST_FIXTURE_TEST_CASE(requestMachine_waitingBeforeTheAcknowledgement_staysPlaced, RequestMachineFixture)
{
    handle({RequestEvent::Admit, RequestEvent::Place, RequestEvent::CancelFailed});
    BOOST_TEST((machine.state() == RequestState::Placed));
    handle({RequestEvent::Acknowledge, RequestEvent::Answer});
    BOOST_TEST(machine.isFinal());
}

// The answer of an attempt comes after its caller was told that the outcome is unknown. A second answer on the same
// connection would be taken for the answer to the caller's next request.
BOOST_FIXTURE_TEST_CASE(requestMachine_afterItsEnd_ignoresLateNews, RequestMachineFixture)
{
    handle({RequestEvent::Admit, RequestEvent::Place, RequestEvent::LoseTrack});
    BOOST_TEST(!machine.handle(RequestEvent::Answer));
    BOOST_TEST(!machine.handle(RequestEvent::Acknowledge));
    BOOST_TEST((machine.state() == RequestState::Unknown));
}

// A fault in the node places a request that was refused. The caller would see its refused refund paid.
BOOST_FIXTURE_TEST_CASE(requestMachine_afterRefusal_cannotBePlaced, RequestMachineFixture)
{
    handle({RequestEvent::Admit, RequestEvent::Refuse});
    BOOST_CHECK_THROW(machine.handle(RequestEvent::Place), base::Error);
}
