#include "papayastep/membership/vmdirectory.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::membership;
using namespace std::chrono_literals;

namespace {

const base::VmId first("vm-1");
const base::VmId second("vm-2");

config::VmList listOf(std::uint64_t version, const std::vector<base::VmId> &vms)
{
    config::VmList list{version, {}};
    for (const base::VmId &vm : vms) {
        list.vms.push_back({vm, base::ZoneId("a"), "127.0.0.1", 1, 2, 3, 4, false});
    }
    return list;
}

struct DirectoryFixture
{
    base::ManualClock clock;
    VmDirectory directory{clock};

    DirectoryFixture()
    {
        directory.accept(listOf(5, {second, first}));
    }
};

}

// Two sources of the list contradict each other, and the older list arrives last. If it were accepted, work would be
// sent to a VM that is gone.
BOOST_FIXTURE_TEST_CASE(list_thatIsOlder_isNotAccepted, DirectoryFixture)
{
    BOOST_TEST(!directory.accept(listOf(4, {first})));
    BOOST_TEST(!directory.accept(listOf(5, {first})));
    BOOST_TEST(directory.activeVms().size() == 2u);
    BOOST_TEST(directory.accept(listOf(6, {first})));
    BOOST_TEST(directory.activeVms().size() == 1u);
}

// Guards against a node that keeps VMs in its list that its own directory has dropped without a new version.
BOOST_FIXTURE_TEST_CASE(localList_thatDiffersUnderTheSameVersion_isAccepted, DirectoryFixture)
{
    BOOST_TEST(directory.acceptLocal(listOf(5, {first})));
    BOOST_TEST(directory.activeVms().size() == 1u);
    BOOST_TEST(!directory.acceptLocal(listOf(5, {first})));
    BOOST_TEST(!directory.acceptLocal(listOf(4, {first, second})));
}

BOOST_FIXTURE_TEST_CASE(vm_thatAnnouncesItsLeaving_isNotActive, DirectoryFixture)
{
    directory.noteMessage(first, 11);
    BOOST_TEST(directory.noteLeaving(first, 11));
    BOOST_TEST(!directory.noteLeaving(first, 11));
    BOOST_TEST(directory.isLeaving(first));
    BOOST_TEST((directory.activeVms() == std::vector{second}));
}

// A VM restarts in place, and this node receives no message from its new incarnation because the two exchange none. If
// the announcement did not expire, the VM would get no work from this node for good.
BOOST_FIXTURE_TEST_CASE(leaving_announcedLongAgo_expires, DirectoryFixture)
{
    directory.noteMessage(first, 11);
    directory.noteLeaving(first, 11);
    clock.advance(59s);
    BOOST_TEST(directory.isLeaving(first));
    clock.advance(2s);
    BOOST_TEST(!directory.isLeaving(first));
}

// A VM restarts under its old name, and the announcement of its old incarnation arrives late. If it counted for the new
// incarnation, the VM would get no work until the platform's next list.
BOOST_FIXTURE_TEST_CASE(leaving_ofAReplacedIncarnation_isDropped, DirectoryFixture)
{
    directory.noteMessage(first, 11);
    directory.noteLeaving(first, 11);
    directory.noteMessage(first, 12);
    BOOST_TEST(!directory.isLeaving(first));
    BOOST_TEST(!directory.noteLeaving(first, 11));
    directory.noteMessage(first, 11);
    BOOST_TEST(!directory.isLeaving(first));
}

BOOST_FIXTURE_TEST_CASE(timeSinceLastMessage_ofAVm_countsFromItsLastMessage, DirectoryFixture)
{
    BOOST_TEST(!directory.timeSinceLastMessage(first).has_value());
    directory.noteMessage(first, 11);
    clock.advance(3s);
    BOOST_TEST((directory.timeSinceLastMessage(first) == base::Duration(3s)));
}

BOOST_FIXTURE_TEST_CASE(activity_ofUnlistedVms_isNotKept, DirectoryFixture)
{
    directory.noteMessage(base::VmId("vm-9"), 1);
    BOOST_TEST(!directory.timeSinceLastMessage(base::VmId("vm-9")).has_value());
    directory.noteMessage(first, 11);
    directory.accept(listOf(6, {second}));
    BOOST_TEST(!directory.timeSinceLastMessage(first).has_value());
}
