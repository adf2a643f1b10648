#include "papayastep/base/error.h"
#include "papayastep/config/configstore.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace papayastep;
using namespace papayastep::config;

namespace {

/// A file near the size of a platform value, of keys that no compressor makes smaller.
std::string largeText(const std::string &changed)
{
    std::string text = "[";
    for (int index = 0; index < 9000; ++index) {
        text += "\"" + digestOf(index == 4321 ? changed : std::to_string(index)) + "\",\n";
    }
    return text + "0]";
}

struct StoreFixture
{
    ConfigStore older{1, {{"10-a.json", largeText("old")}, {"20-b.json", "{}"}, {"30-c.json", "[1]"}}};
    ConfigStore newer{2, {{"10-a.json", largeText("new")}, {"20-b.json", "{}"}, {"40-d.json", "[2]"}}};
};

}

BOOST_FIXTURE_TEST_CASE(patch_ofOneChangedLine_isSmallAndGivesTheNewFiles, StoreFixture)
{
    const ConfigurationPatch patch = newer.patchFor(older.listing(), older);
    BOOST_TEST(patch.patches.at(0).data.size() < 1000u);
    const ConfigStore result = older.apply(patch);
    BOOST_TEST((result.files() == newer.files()));
    BOOST_TEST((result.listing() == newer.listing()));
}

BOOST_FIXTURE_TEST_CASE(patch_againstNothing_carriesAllFiles, StoreFixture)
{
    BOOST_TEST((ConfigStore().apply(newer.patchFor({}, {})).files() == newer.files()));
}

BOOST_FIXTURE_TEST_CASE(patch_withBaseThatTheSenderLost_goesWhole, StoreFixture)
{
    const ConfigurationPatch patch = newer.patchFor(older.listing(), ConfigStore());
    BOOST_TEST(patch.patches.at(0).baseDigest.empty());
    BOOST_TEST((older.apply(patch).files() == newer.files()));
}

// Two revisions cross on their way and a patch arrives at a node with other files. Applied all the same it would mix
// two revisions, and a withdrawn key could come back to life.
BOOST_FIXTURE_TEST_CASE(patch_againstOtherFiles_isRefused, StoreFixture)
{
    const ConfigurationPatch patch = newer.patchFor(older.listing(), older);
    BOOST_CHECK_THROW(newer.apply(patch), base::Error);
    BOOST_CHECK_THROW(ConfigStore().apply(patch), base::Error);
}

// A faulty peer sends a frame of a few bytes that unpacks to more than a file may have. Without the limit the node
// would run out of memory, and its callers would be cut off.
BOOST_FIXTURE_TEST_CASE(patch_withHugeFile_isRefused, StoreFixture)
{
    const std::vector<ConfigurationFile> huge{{"10-a.json", std::string(maxFileBytes + 1, ' ')}};
    const ConfigStore sender(2, huge);
    BOOST_CHECK_THROW(ConfigStore().apply(sender.patchFor({}, {})), base::Error);
}

// A patch is cut or changed on its way, in memory or by a faulty peer. Whatever byte it is, the result must be the
// right files or none.
RC_BOOST_FIXTURE_PROP(patch_withAnyChangedByte_givesTheRightFilesOrNone, StoreFixture, ())
{
    ConfigurationPatch patch = newer.patchFor(older.listing(), older);
    std::string &data = patch.patches[0].data;
    const auto place = *rc::gen::inRange<std::size_t>(0, data.size());
    data[place] = *rc::gen::arbitrary<char>();
    try {
        RC_ASSERT(older.apply(patch).files() == newer.files());
    } catch (const base::Error &error) {
        RC_ASSERT(error.code() == base::ResultCode::MessageMalformed);
    }
}

// The platform publishes anew while a reader fetches: one file is already of the next revision.
BOOST_FIXTURE_TEST_CASE(assembly_ofMixedRevisions_isRefused, StoreFixture)
{
    BOOST_CHECK_THROW(older.assemble(newer.listing(), {{"10-a.json", "{}"}, {"40-d.json", "[2]"}}), base::Error);
    BOOST_CHECK_THROW(older.assemble(newer.listing(), {{"10-a.json", newer.text("10-a.json")}}), base::Error);
}

BOOST_FIXTURE_TEST_CASE(assembly_withFilesAlreadyHeld_needsOnlyTheOthers, StoreFixture)
{
    const auto store = older.assemble(newer.listing(), {{"10-a.json", newer.text("10-a.json")}, {"40-d.json", "[2]"}});
    BOOST_TEST((store.files() == newer.files()));
}
