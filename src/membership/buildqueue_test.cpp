#include "papayastep/membership/buildqueue.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;

namespace {

/// A queue of builds whose files are irrelevant to the tests.
struct BuildQueueFixture
{
    void put(base::Revision revision)
    {
        queue.put({config::ConfigStore(revision, {}), "platform", std::nullopt});
    }

    base::Revision taken()
    {
        const auto build = queue.take();
        return build ? build->store.revision() : 0;
    }

    void reject(base::Revision revision)
    {
        put(revision);
        queue.take();
        queue.finish(revision, {nullptr, "no routes"});
    }

    membership::BuildQueue queue;
};

}

BOOST_FIXTURE_TEST_SUITE(buildQueue, BuildQueueFixture)

BOOST_AUTO_TEST_CASE(build_whileOneRuns_waitsAndOnlyTheNewestIsReturned)
{
    put(3);
    BOOST_TEST(taken() == 3u);
    put(4);
    put(6);
    BOOST_TEST(taken() == 0u);
    queue.finish(3, {nullptr, "no routes"});
    BOOST_TEST(taken() == 6u);
}

BOOST_AUTO_TEST_CASE(revision_pendingOrRejected_needsNoBuild)
{
    put(5);
    BOOST_TEST(queue.isPendingOrRejected(4));
    BOOST_TEST(queue.isPendingOrRejected(5));
    BOOST_TEST(!queue.isPendingOrRejected(6));
    queue.take();
    queue.finish(5, {nullptr, "no routes"});
    BOOST_TEST(queue.isPendingOrRejected(5));
    BOOST_TEST(queue.newestPendingOrRejected() == 5u);
    BOOST_TEST(queue.lastRejection() == "no routes");
}

// An operator publishes an invalid revision, and an earlier valid one reaches this node only afterwards. If the
// rejection hid the earlier one, the node would stay behind until the next revision.
BOOST_AUTO_TEST_CASE(revision_smallerThanARejectedOne_mayStillBeBuilt)
{
    reject(9);
    BOOST_TEST(!queue.isPendingOrRejected(8));
}

BOOST_AUTO_TEST_CASE(rejections_olderThanTheActiveRevision_areForgotten)
{
    reject(5);
    reject(9);
    queue.noteActivated(7);
    BOOST_TEST(!queue.isPendingOrRejected(5));
    BOOST_TEST(queue.isPendingOrRejected(9));
    BOOST_TEST(queue.rejectedCount() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()
