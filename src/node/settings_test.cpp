#include "papayastep/base/error.h"
#include "papayastep/node/settings.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <future>
#include <sys/stat.h>
#include <unistd.h>

using namespace papayastep;
using namespace papayastep::node;
using nlohmann::json;

namespace {

struct SettingsFixture
{
    SettingsFixture()
        : folder(std::filesystem::temp_directory_path() / ("papayastep-settings-" + std::to_string(getpid())))
    {
        std::filesystem::create_directory(folder);
    }
    SettingsFixture(const SettingsFixture &) = delete;
    SettingsFixture &operator=(const SettingsFixture &) = delete;
    ~SettingsFixture()
    {
        std::filesystem::remove_all(folder);
    }
    std::string write(const std::string &name, const std::string &text) const
    {
        std::ofstream(folder / name) << text;
        return (folder / name).string();
    }
    void refuses(const json &settings, const std::string &pointer) const
    {
        try {
            parseSettings(settings.dump(), "node.json", overrides);
            BOOST_ERROR("accepted invalid settings: " << settings);
        } catch (const base::Error &error) {
            BOOST_TEST((error.code() == base::ResultCode::SettingsSchema));
            BOOST_TEST(error.location().file == "node.json");
            BOOST_TEST(error.location().pointer == pointer);
        }
    }
    json with(const std::string &pointer, const json &value) const
    {
        json changed = good;
        changed[json::json_pointer(pointer)] = value;
        return changed;
    }

    std::filesystem::path folder;
    SettingsOverrides overrides;
    json good = json::parse(R"({"vm": "vm-1", "zone": "a", "platform": ["127.0.0.1:5"], "listen": {
        "caller": "127.0.0.1:1", "hop": "127.0.0.1:2", "peer": "127.0.0.1:3", "admin": "127.0.0.1:4"}})");
};

}

BOOST_FIXTURE_TEST_CASE(settings_wellFormed_areRead, SettingsFixture)
{
    const auto settings = parseSettings(good.dump(), "node.json", overrides);
    BOOST_TEST((settings.vm == base::VmId("vm-1")));
    BOOST_TEST((settings.peer == net::Endpoint{"127.0.0.1", 3}));
    BOOST_TEST(settings.ejection);
    BOOST_TEST(!settings.confirmsRecovery);
    BOOST_TEST(!settings.overflowQueue.has_value());
    BOOST_TEST(!settings.zoneTransfer.has_value());
}

BOOST_FIXTURE_TEST_CASE(settings_withInvalidMember_reportItsLocation, SettingsFixture)
{
    refuses(with("/listen/caller", "localhost:1"), "/listen/caller");
    refuses(with("/listen/hop", "127.0.0.1:65536"), "/listen/hop");
    refuses(with("/platform/0", "here:80"), "/platform/0");
    refuses(with("/limits/headerBytes", 1048577), "/limits/headerBytes");
    refuses(with("/drainTimeoutMs", 0), "/drainTimeoutMs");
    refuses(with("/placement", "best"), "/placement");
    json missing = good;
    missing["listen"].erase("peer");
    refuses(missing, "/listen");
    refuses(json::array(), "");
    refuses(with("/colour", "red"), "");
}

BOOST_FIXTURE_TEST_CASE(settings_forDemandBeyondCapacity_areRead, SettingsFixture)
{
    json document = good;
    document["confirmsRecovery"] = true;
    document["overflowQueue"] = {{"minTimeAfterTargetMs", 5000}, {"maxQueued", 64}};
    document["zoneTransfer"] = {{"costPerKilobyte", 0.0125}, {"maxCost", 0.5}};
    const auto settings = parseSettings(document.dump(), "node.json", overrides);
    BOOST_TEST((settings.zoneTransfer == routing::ZoneTransferSettings{0.0125, 0.5}));
    refuses(with("/zoneTransfer", {{"costPerKilobyte", -1}, {"maxCost", 0.5}}), "/zoneTransfer/costPerKilobyte");
    BOOST_TEST(settings.confirmsRecovery);
    BOOST_TEST((settings.overflowQueue == limits::OverflowSettings{std::chrono::seconds(5), 64}));
    refuses(with("/overflowQueue", {{"maxQueued", 64}}), "/overflowQueue");
    refuses(with("/overflowQueue", {{"minTimeAfterTargetMs", 5000}, {"maxQueued", 0}}), "/overflowQueue/maxQueued");
}

// Guards against a node that handles the requests of a connection concurrently although its operator has not asked for
// it, and against a bound that the server can't keep.
BOOST_FIXTURE_TEST_CASE(settings_pipelining_isOffUnlessSet, SettingsFixture)
{
    const auto unset = parseSettings(good.dump(), "node.json", overrides).limits;
    BOOST_TEST(unset.pipelinedRequests == 1U);
    BOOST_TEST(unset.pipelinedBytes == 262144U);
    json document = good;
    document["limits"] = {{"pipelinedRequests", 16}, {"pipelinedBytes", 1000}};
    const auto set = parseSettings(document.dump(), "node.json", overrides).limits;
    BOOST_TEST(set.pipelinedRequests == 16U);
    BOOST_TEST(set.pipelinedBytes == 1000U);
    refuses(with("/limits/pipelinedRequests", 0), "/limits/pipelinedRequests");
    refuses(with("/limits/pipelinedRequests", 65), "/limits/pipelinedRequests");
    refuses(with("/limits/pipelinedBytes", 0), "/limits/pipelinedBytes");
}

BOOST_FIXTURE_TEST_CASE(settings_notJson_areRefused, SettingsFixture)
{
    BOOST_CHECK_EXCEPTION(parseSettings("{", "node.json", {}), base::Error, [](const base::Error &error) {
        return error.code() == base::ResultCode::SettingsSchema && error.location().file == "node.json";
    });
}

BOOST_FIXTURE_TEST_CASE(settings_withOverrides_areOverridden, SettingsFixture)
{
    overrides.vm = "vm-9";
    overrides.hop = "127.0.0.1:90";
    overrides.platform = {"127.0.0.1:91", "127.0.0.1:92"};
    const auto settings = parseSettings(good.dump(), "node.json", overrides);
    BOOST_TEST((settings.vm == base::VmId("vm-9")));
    BOOST_TEST((settings.hop == net::Endpoint{"127.0.0.1", 90}));
    BOOST_TEST(settings.platform.size() == 2u);
}

// The file contains a string instead of the listen object, and the command line sets a member of it. Guards against a
// start that ends with an exception of the JSON library, without result code and location.
BOOST_FIXTURE_TEST_CASE(settings_withOverrideInsideString_reportLocation, SettingsFixture)
{
    overrides.caller = "127.0.0.1:90";
    refuses(with("/listen", "127.0.0.1:1"), "/listen");
}

BOOST_FIXTURE_TEST_CASE(settings_fromFiles_requireSecretOf16Bytes, SettingsFixture)
{
    const auto isMissing
        = [](const base::Error &error) { return error.code() == base::ResultCode::SettingsSecretMissing; };
    const std::string path = write("node.json", good.dump());
    overrides.secretFile = write("secret", "fifteen bytes..\n");
    BOOST_CHECK_EXCEPTION(readSettings(path, overrides), base::Error, isMissing);
    overrides.secretFile = write("secret", "sixteen bytes...\n");
    BOOST_TEST(readSettings(path, overrides).secret == "sixteen bytes...");
    overrides.secretFile = (folder / "none").string();
    BOOST_CHECK_EXCEPTION(readSettings(path, overrides), base::Error, isMissing);
    BOOST_CHECK_EXCEPTION(readSettings((folder / "none").string(), {}), base::Error, [](const base::Error &error) {
        return error.code() == base::ResultCode::SettingsUnreadable;
    });
}

namespace {

/// Settings whose file or secret is a named pipe without a writer.
struct NamedPipeFixture : SettingsFixture
{
    NamedPipeFixture()
    {
        BOOST_REQUIRE(::mkfifo(pipe.c_str(), S_IRUSR | S_IWUSR) == 0);
    }

    /// Returns the result code with which `path` is refused, or no value if it is accepted or still being read after
    /// 10 seconds.
    std::optional<base::ResultCode> refusalOf(const std::string &path) const
    {
        auto reading = std::async(std::launch::async, [this, path]() -> std::optional<base::ResultCode> {
            try {
                readSettings(path, overrides);
            } catch (const base::Error &error) {
                return error.code();
            }
            return std::nullopt;
        });
        const bool inTime = reading.wait_for(std::chrono::seconds(10)) == std::future_status::ready;
        // Opening the pipe for writing ends a reader that waits for a writer, so that the test ends too.
        const int writer = ::open(pipe.c_str(), O_WRONLY | O_NONBLOCK);
        if (writer >= 0) {
            ::close(writer);
        }
        const auto code = reading.get();
        return inTime ? code : std::nullopt;
    }

    const std::string pipe = (folder / "pipe").string();
};

}

// A tool that distributes settings or secrets replaces the file by a named pipe and exits. The node reads files in its
// only thread, so a read that blocks at a reload would stop the answers to all callers while the process seems to run,
// and nothing would be logged.
BOOST_FIXTURE_TEST_CASE(settings_pipeWithoutWriter_isRefusedImmediately, NamedPipeFixture)
{
    BOOST_TEST((refusalOf(pipe) == base::ResultCode::SettingsUnreadable));
}

BOOST_FIXTURE_TEST_CASE(secret_pipeWithoutWriter_isRefusedImmediately, NamedPipeFixture)
{
    overrides.secretFile = pipe;
    BOOST_TEST((refusalOf(write("node.json", good.dump())) == base::ResultCode::SettingsSecretMissing));
}

BOOST_FIXTURE_TEST_CASE(settings_folder_isRefused, SettingsFixture)
{
    BOOST_CHECK_EXCEPTION(readSettings(folder.string(), {}), base::Error, [](const base::Error &error) {
        return error.code() == base::ResultCode::SettingsUnreadable;
    });
}
