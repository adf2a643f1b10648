#include "papayastep/base/error.h"
#include "papayastep/config/configstore.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace papayastep;
using namespace papayastep::config;

namespace {

/// Returns a file of nearly maxFileBytes bytes that consists of keys, which hardly compress.
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

BOOST_FIXTURE_TEST_CASE(patch_ofOneChangedLine_isSmallAndResultsInNewFiles, StoreFixture)
{
    const ConfigurationPatch patch = newer.patchFor(older.listing(), older);
    BOOST_TEST(patch.patches.at(0).data.size() < 1000u);
    const ConfigStore result = older.apply(patch);
    BOOST_TEST((result.files() == newer.files()));
    BOOST_TEST((result.listing() == newer.listing()));
}

BOOST_FIXTURE_TEST_CASE(patch_forEmptyStore_containsAllFiles, StoreFixture)
{
    BOOST_TEST((ConfigStore().apply(newer.patchFor({}, {})).files() == newer.files()));
}

BOOST_FIXTURE_TEST_CASE(patch_withoutOldTextAtSender_containsWholeFile, StoreFixture)
{
    const ConfigurationPatch patch = newer.patchFor(older.listing(), ConfigStore());
    BOOST_TEST(patch.patches.at(0).baseDigest.empty());
    BOOST_TEST((older.apply(patch).files() == newer.files()));
}

// Two revisions are in transit at the same time, and a patch arrives at a node that has other files than those the
// patch was made for. Guards against applying it, which would mix two revisions and could make a withdrawn key valid
// again.
BOOST_FIXTURE_TEST_CASE(patch_forOtherFiles_isRejected, StoreFixture)
{
    const ConfigurationPatch patch = newer.patchFor(older.listing(), older);
    BOOST_CHECK_THROW(newer.apply(patch), base::Error);
    BOOST_CHECK_THROW(ConfigStore().apply(patch), base::Error);
}

// A faulty peer sends a frame of a few bytes that decompresses to more than the maximum file size. Guards against a
// node that runs out of memory and drops the connections of its callers.
BOOST_FIXTURE_TEST_CASE(patch_withFileAboveLimit_isRejected, StoreFixture)
{
    const std::vector<ConfigurationFile> huge{{"10-a.json", std::string(maxFileBytes + 1, ' ')}};
    const ConfigStore sender(2, huge);
    BOOST_CHECK_THROW(ConfigStore().apply(sender.patchFor({}, {})), base::Error);
}

// A patch is corrupted in transit, in memory or by a faulty peer. Guards against wrong files as a result, whichever
// byte is changed: the result must be the correct files or an error.
RC_BOOST_FIXTURE_PROP(patch_withAnyChangedByte_resultsInCorrectFilesOrError, StoreFixture, ())
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

// The platform publishes a new revision while a node fetches files, so that one file already belongs to the next
// revision. Guards against a store of mixed revisions.
BOOST_FIXTURE_TEST_CASE(assembly_ofMixedRevisions_isRejected, StoreFixture)
{
    BOOST_CHECK_THROW(older.assemble(newer.listing(), {{"10-a.json", "{}"}, {"40-d.json", "[2]"}}), base::Error);
    BOOST_CHECK_THROW(older.assemble(newer.listing(), {{"10-a.json", newer.text("10-a.json")}}), base::Error);
}

BOOST_FIXTURE_TEST_CASE(assembly_withStoredFiles_needsOnlyTheOthers, StoreFixture)
{
    const auto store = older.assemble(newer.listing(), {{"10-a.json", newer.text("10-a.json")}, {"40-d.json", "[2]"}});
    BOOST_TEST((store.files() == newer.files()));
}
