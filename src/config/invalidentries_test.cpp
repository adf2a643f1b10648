#include "papayastep/base/error.h"
#include "papayastep/config/check.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::config;
using base::ResultCode;

namespace {

std::string keyOf(char digit)
{
    return "\"sha256:" + std::string(64, digit) + "\"";
}

/// Two workspaces, a service and a route, and the file of an entry that is added to them.
struct FilesFixture
{
    std::vector<ConfigurationFile> files{{"10-services.json", R"({"services":[{"id":"s"}]})"},
                                         {"20-routes.json",
                                          R"({"routes":[{"id":"r","pathPrefix":"/r","service":"s"}]})"},
                                         {"30-workspaces.json",
                                          R"({"workspaces":[{"id":"a","keys":[)" + keyOf('a') + R"(],"unlimited":true},
            {"id":"b","keys":[)" + keyOf('b') + R"(],"unlimited":true}]})"}};

    CheckResult checkWith(const std::string &text, InvalidEntries invalidEntries = InvalidEntries::Skip) const
    {
        std::vector<ConfigurationFile> all = files;
        all.push_back({"90-added.json", text});
        return check(4, all, invalidEntries);
    }
};

}

// Guards against a revision that is out of force for one entry although a platform has accepted it.
BOOST_FIXTURE_TEST_CASE(check_thatSkipsInvalidEntries_keepsAllOthers, FilesFixture)
{
    const CheckResult result = checkWith(R"({"routes":[{"id":"bad one","pathPrefix":"/x","service":"s"},
        {"id":"far","pathPrefix":"/far","service":"s","maxAttempts":99},
        {"id":"added","pathPrefix":"/added","service":"s"}]})");
    BOOST_REQUIRE(result.configuration);
    BOOST_TEST(result.configuration->route(base::RouteId("added")));
    BOOST_TEST(result.configuration->route(base::RouteId("r")));
    BOOST_TEST(result.configuration->workspaces().size() == 2u);
    BOOST_REQUIRE_EQUAL(result.skipped.size(), 2u);
    BOOST_TEST(result.skipped[0].section == "routes");
    BOOST_TEST(result.skipped[0].id == "far");
    BOOST_TEST((result.skipped[0].code == ResultCode::ConfigOutOfRange));
    BOOST_TEST(result.skipped[1].id == "bad one");
}

// Guards against routes that are lost with the settings of their service.
BOOST_FIXTURE_TEST_CASE(check_thatSkipsTheSettingsOfAService_keepsItsRoutes, FilesFixture)
{
    const CheckResult result
        = checkWith(R"({"services":[{"id":"t","floor":7}],"routes":[{"id":"x","pathPrefix":"/x","service":"t"}]})");
    BOOST_REQUIRE(result.configuration);
    BOOST_TEST(result.configuration->route(base::RouteId("x")));
    BOOST_TEST(result.configuration->service(base::ServiceId("t"))->floor == 0.5);
    BOOST_TEST(result.skipped.size() == 1u);
}

// Guards against a skipped entry that takes with it a revision whose other entries refer to it.
BOOST_FIXTURE_TEST_CASE(check_thatSkipsAnEntry_skipsWhatRefersToIt, FilesFixture)
{
    const CheckResult result = checkWith(
        R"({"services":[{"id":"no service"}],"routes":[{"id":"x","pathPrefix":"/x","service":"no service"}]})");
    BOOST_REQUIRE(result.configuration);
    BOOST_TEST(!result.configuration->route(base::RouteId("x")));
    BOOST_TEST(result.configuration->route(base::RouteId("r")));
    BOOST_TEST(result.skipped.size() == 2u);
}

// Guards against two entries that claim the same key or path and are both lost.
BOOST_FIXTURE_TEST_CASE(check_thatSkipsContradictions_keepsTheFirstEntry, FilesFixture)
{
    const CheckResult result = checkWith(R"({"workspaces":[{"id":"c","keys":[)" + keyOf('a') + R"(],"unlimited":true},
        {"id":"b","keys":[],"unlimited":true}],"routes":[{"id":"again","pathPrefix":"/r","service":"s"}]})");
    BOOST_REQUIRE(result.configuration);
    BOOST_TEST(result.skipped.size() == 3u);
    BOOST_TEST(result.configuration->workspaceOfKey(KeyFingerprint::parse(std::string(64, 'a')))->id.value() == "a");
    BOOST_TEST(result.configuration->workspaceOfKey(KeyFingerprint::parse(std::string(64, 'b')))->id.value() == "b");
}

BOOST_FIXTURE_TEST_CASE(check_thatSkipsAnInvalidLimit_keepsTheOtherLimits, FilesFixture)
{
    const CheckResult result
        = checkWith(R"({"limits":{"headerBytes":1,"idleTimeout":"2h","headerTimeout":"3s","bodyBytes":5}})");
    BOOST_REQUIRE(result.configuration);
    BOOST_TEST(!result.configuration->limits().headerBytes);
    BOOST_TEST(!result.configuration->limits().idleTimeout);
    BOOST_TEST(result.configuration->limits().bodyBytes.value() == 5u);
    BOOST_CHECK(result.configuration->limits().headerTimeout == base::Duration(std::chrono::seconds(3)));
}

// Guards against a truncated file or an empty configuration that is taken for one that drops all entries.
BOOST_FIXTURE_TEST_CASE(check_thatSkipsInvalidEntries_rejectsFilesThatCannotBeRead, FilesFixture)
{
    BOOST_TEST(!checkWith(R"({"routes":[)").configuration);
    BOOST_TEST(!checkWith(R"({"unknown":[]})").configuration);
    BOOST_TEST(!check(1, {{"a.json", R"({"services":[{"id":""}]})"}}, InvalidEntries::Skip).configuration);
}

// Guards against a mistake in a file of an operator that goes into force before anybody has read its error.
BOOST_FIXTURE_TEST_CASE(check_ofFilesOfAnOperator_rejectsThemForOneEntry, FilesFixture)
{
    const CheckResult result
        = checkWith(R"({"routes":[{"id":"x y","pathPrefix":"/x","service":"s"}]})", InvalidEntries::Reject);
    BOOST_TEST(!result.configuration);
    BOOST_TEST(result.skipped.empty());
    BOOST_TEST(result.errors.size() == 1u);
}
