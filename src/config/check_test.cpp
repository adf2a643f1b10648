#include "papayastep/base/error.h"
#include "papayastep/config/check.h"
#include "papayastep/config/folder.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <fstream>

using namespace papayastep;
using namespace papayastep::config;

namespace {

struct ExampleFixture
{
    static std::string path(const std::string &relative)
    {
        return std::string(PAPAYASTEP_SOURCE_DIR) + "/examples/" + relative;
    }
    static ConfigurationPtr load(const std::string &name)
    {
        return buildConfiguration(1, readFolder(path(name + "/config")));
    }
    static nlohmann::json json(const std::string &relative)
    {
        std::ifstream stream(path(relative));
        return nlohmann::json::parse(stream);
    }
};

}

BOOST_FIXTURE_TEST_CASE(example_ofCaribrite_hasExpectedSizes, ExampleFixture)
{
    const auto configuration = load("caribrite");
    BOOST_TEST(configuration->workspaces().size() == 8);
    BOOST_TEST(configuration->serversOf(base::ServiceId("counter")).size() == 14);
    BOOST_TEST(configuration->serversOf(base::ServiceId("van")).size() == 8);
    BOOST_TEST(configuration->backendServer(base::BackendServerId("van-1"))->slots == 5);
    BOOST_TEST(configuration->routes().size() == 4);
}

BOOST_FIXTURE_TEST_CASE(example_ofTeplaNoha_hasExpectedSizes, ExampleFixture)
{
    const auto configuration = load("tepla-noha");
    BOOST_TEST(configuration->workspaces().size() == 8);
    BOOST_TEST(configuration->serversOf(base::ServiceId("booking")).size() == 23);
    BOOST_TEST(configuration->serversOf(base::ServiceId("workshop")).size() == 6);
    BOOST_TEST(configuration->backendServer(base::BackendServerId("booking-1"))->slots == 4);
    BOOST_TEST(configuration->routes().size() == 5);
}

BOOST_FIXTURE_TEST_CASE(exampleKeys_ofCallers_identifyTheirWorkspaces, ExampleFixture)
{
    for (const std::string name : {"caribrite", "tepla-noha"}) {
        const auto configuration = load(name);
        const auto document = json(name + "/callers.json");
        BOOST_TEST(document["callers"].size() >= 8u);
        for (const auto &caller : document["callers"]) {
            const auto *workspace = configuration->workspaceOfKey(fingerprintOf(caller["key"].get<std::string>()));
            BOOST_REQUIRE(workspace);
            BOOST_TEST(workspace->id.value() == caller["workspace"].get<std::string>());
        }
    }
}

BOOST_FIXTURE_TEST_CASE(exampleVms_ofBothExamples_runBackendServers, ExampleFixture)
{
    for (const std::string name : {"caribrite", "tepla-noha"}) {
        const auto configuration = load(name);
        const auto document = json(name + "/vms.json");
        BOOST_TEST(document["vms"].size() == configuration->backendServers().size());
        for (const auto &vm : document["vms"]) {
            const auto &servers = configuration->backendServers();
            BOOST_TEST(std::any_of(servers.begin(), servers.end(), [&vm](const BackendServer &server) {
                return server.vm.value() == vm["id"] && server.zone.value() == vm["zone"];
            }));
        }
    }
}
