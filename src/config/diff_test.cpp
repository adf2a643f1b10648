#include "papayastep/config/check.h"
#include "papayastep/config/diff.h"
#include "papayastep/config/folder.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::config;

namespace {

struct DiffFixture
{
    std::vector<ConfigurationFile> files = readFolder(PAPAYASTEP_SOURCE_DIR "/examples/caribrite/config");
    ConfigurationPtr before = buildConfiguration(1, files);

    ConfigurationPtr with(const std::string &text) const
    {
        auto changed = files;
        changed.push_back({"90-drop-in.json", text});
        return buildConfiguration(2, changed);
    }
};

}

BOOST_FIXTURE_TEST_CASE(diff_ofEqualConfigurations_isEmpty, DiffFixture)
{
    BOOST_TEST(diff(*before, *buildConfiguration(2, files)).empty());
}

BOOST_FIXTURE_TEST_CASE(diff_ofOverride_containsOnlyTheFieldsThatDiffer, DiffFixture)
{
    const auto after = with(R"({"backendServers":[{"id":"counter-3","override":true,"drain":true}]})");
    const auto changes = diff(*before, *after);
    BOOST_REQUIRE(changes.size() == 1u);
    BOOST_TEST(
        (changes[0]
         == Change{ChangeKind::Changed, "backendServers", "counter-3", R"({"drain":false})", R"({"drain":true})"}));
}

BOOST_FIXTURE_TEST_CASE(diff_ofNewService_isAddedOrRemovedByDirection, DiffFixture)
{
    const auto after = with(R"({"services":[{"id":"zebra","floor":0.5}]})");
    BOOST_TEST((diff(*before, *after).at(0).kind == ChangeKind::Added));
    BOOST_TEST((diff(*after, *before).at(0).kind == ChangeKind::Removed));
}

BOOST_FIXTURE_TEST_CASE(mergedJson_readBack_equalsTheConfiguration, DiffFixture)
{
    const auto again = buildConfiguration(1, {{"all.json", toJson(*before)}});
    BOOST_TEST(diff(*before, *again).empty());
    BOOST_TEST((again->routes() == before->routes()));
}
