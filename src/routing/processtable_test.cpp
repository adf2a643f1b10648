#include "papayastep/routing/processtable.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::routing;
using namespace std::chrono_literals;

namespace {

struct ProcessFixture
{
    base::ManualClock clock;
    ProcessTable processes{clock};
    const base::VmId vm{"vm1"};

    bool isProof(base::Incarnation incarnation,
                 base::TimePoint sentAt,
                 CancelAnswer answer = CancelAnswer::NeverStarted)
    {
        return processes.verifiedAnswer(vm, incarnation, answer, sentAt) == answer;
    }
};

}

// The serving node crashes while a refund runs. Its next process has no record of the refund and answers that it never
// started, so the refund would be paid again through another server.
BOOST_FIXTURE_TEST_CASE(processTable_withServingNodeRestarted_rejectsItsAnswerOnEarlierAttempts, ProcessFixture)
{
    processes.recordMessage(vm, 1);
    clock.advance(1s);
    const auto sentAt = clock.now();
    BOOST_TEST(isProof(1, sentAt));
    clock.advance(100ms);
    processes.recordMessage(vm, 2);
    BOOST_TEST(!isProof(2, sentAt));
    BOOST_TEST(!isProof(1, sentAt)); // A late message of the earlier process, which is no longer recorded.
    BOOST_TEST(isProof(2, clock.now()));
    BOOST_TEST(isProof(2, sentAt, CancelAnswer::Started));
}

// An entry that has just started has received no message of the serving node before it sends the attempt.
BOOST_FIXTURE_TEST_CASE(processTable_withUnknownProcess_acceptsNoProof, ProcessFixture)
{
    BOOST_TEST(!isProof(1, clock.now()));
}
