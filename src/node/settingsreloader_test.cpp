#include "papayastep/base/error.h"
#include "papayastep/node/settingsreloader.h"

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace papayastep;
using namespace std::chrono_literals;

namespace {

constexpr const char *settingsFormat = R"({"vm": "vm-1", "zone": "a", "drainTimeoutMs": %d,
    "listen": {"caller": "127.0.0.1:%d", "hop": "127.0.0.1:2", "peer": "127.0.0.1:3", "admin": "127.0.0.1:4"},
    "platform": ["127.0.0.1:5"]})";

/// A settings file that a test rewrites.
struct SettingsFileFixture
{
    SettingsFileFixture()
    {
        setenv(node::secretEnvironmentVariable, "a secret of the tests", 1);
        write(1000, 1);
    }
    ~SettingsFileFixture()
    {
        std::remove(path.c_str());
    }

    void write(int drainMs, int callerPort) const
    {
        char text[512];
        std::snprintf(text, sizeof(text), settingsFormat, drainMs, callerPort);
        std::ofstream(path) << text;
    }

    std::string path = "/tmp/papayastep-settings-" + std::to_string(getpid()) + ".json";
    node::SettingsReloader settingsReloader{path, {}};
};

}

BOOST_FIXTURE_TEST_SUITE(settingsReloader, SettingsFileFixture)

BOOST_AUTO_TEST_CASE(settings_sameText_areUnchanged)
{
    settingsReloader.load();
    BOOST_TEST(!settingsReloader.reloadIfChanged().has_value());
}

BOOST_AUTO_TEST_CASE(settings_newTimeoutAndAddress_onlyTimeoutIsApplied)
{
    const auto running = settingsReloader.load();
    write(2000, 9);
    const auto fresh = settingsReloader.reloadIfChanged();
    BOOST_REQUIRE(fresh.has_value());
    BOOST_TEST(node::settingsNeedingRestart(running, *fresh) == "listen");
    const auto settings = node::withReloadableSettings(running, *fresh);
    BOOST_TEST((settings.drainTimeout == 2000ms));
    BOOST_TEST(settings.caller.port == 1);
}

// The settings file of a running node is edited and contains a syntax error. The node must report it and keep its
// settings; if it ended, a typing error would disconnect its callers and its backend server.
BOOST_AUTO_TEST_CASE(settings_invalidText_areRefusedOnce)
{
    settingsReloader.load();
    std::ofstream(path) << "{\"vm\": ";
    BOOST_CHECK_THROW(settingsReloader.reloadIfChanged(), base::Error);
    BOOST_TEST(!settingsReloader.reloadIfChanged().has_value());
    write(3000, 1);
    BOOST_TEST(settingsReloader.reloadIfChanged().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
