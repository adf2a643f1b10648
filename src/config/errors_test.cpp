#include "papayastep/base/error.h"
#include "papayastep/config/check.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace papayastep;
using namespace papayastep::config;
using base::ResultCode;

namespace {

const std::string validBase = R"({
    "workspaces":[{"id":"w","keys":["sha256:)"
    + std::string(64, 'a') + R"("],"rate":5,"burst":10}],
    "services":[{"id":"s","floor":0.5}],
    "routes":[{"id":"r","pathPrefix":"/r","methods":["GET"],"service":"s"}],
    "backendServers":[{"id":"b","service":"s","vm":"vm-1","zone":"a","address":"127.0.0.1","port":9001,"slots":2}]})";

/// An invalid drop-in that is added to the valid base file, and the only error that the check must report for it.
struct InvalidDropIn
{
    std::string text;
    ResultCode code;
    std::string pointer;
};

std::ostream &operator<<(std::ostream &stream, const InvalidDropIn &dropIn)
{
    return stream << dropIn.text;
}

const std::vector<InvalidDropIn> invalidDropIns{
    {"{", ResultCode::ConfigNotJson, ""},
    {"", ResultCode::ConfigNotJson, ""},
    {"\xff", ResultCode::ConfigNotJson, ""},
    {"[]", ResultCode::ConfigSchema, ""},
    {R"({"workspaces":{}})", ResultCode::ConfigSchema, "/workspaces"},
    {R"({"servers":[]})", ResultCode::ConfigUnknownField, ""},
    {R"({"services":[],"services":[]})", ResultCode::ConfigDuplicate, "/services"},
    {R"({"services":[{"id":"x"},{"id":"y","floor":0.1,"floor":0.9}]})",
     ResultCode::ConfigDuplicate,
     "/services/1/floor"},
    {R"({"services":[{"id":"x","flor":0.5}]})", ResultCode::ConfigUnknownField, "/services/0"},
    {R"({"services":[{"id":"x","floor":1.5}]})", ResultCode::ConfigOutOfRange, "/services/0/floor"},
    {R"({"services":[{"id":"x","floor":-0.5}]})", ResultCode::ConfigOutOfRange, "/services/0/floor"},
    {R"({"services":[{"id":"x","prefer":"speed"}]})", ResultCode::ConfigSchema, "/services/0/prefer"},
    {R"({"services":[{"id":"x y"}]})", ResultCode::ConfigSchema, "/services/0/id"},
    {R"({"services":[{"id":"x","healthPath":"health"}]})", ResultCode::ConfigSchema, "/services/0/healthPath"},
    {R"({"services":[{"floor":0.5}]})", ResultCode::ConfigSchema, "/services/0"},
    {R"({"services":[{"id":"s","floor":0.4}]})", ResultCode::ConfigDuplicate, "/services/0/id"},
    {R"({"services":[{"id":"z","override":true}]})", ResultCode::ConfigUnknownReference, "/services/0/id"},
    {R"({"services":[{"id":"s","override":true},{"id":"s","override":true}]})",
     ResultCode::ConfigContradiction,
     "/services/1/id"},
    {R"({"workspaces":[{"id":"x","keys":[],"rate":0,"burst":1}]})", ResultCode::ConfigOutOfRange, "/workspaces/0/rate"},
    {R"({"workspaces":[{"id":"x","keys":[],"rate":-1,"burst":1}]})",
     ResultCode::ConfigOutOfRange,
     "/workspaces/0/rate"},
    {R"({"workspaces":[{"id":"x","keys":[],"rate":1e9,"burst":1}]})",
     ResultCode::ConfigOutOfRange,
     "/workspaces/0/rate"},
    {R"({"workspaces":[{"id":"x","keys":[],"rate":1e999,"burst":1}]})", ResultCode::ConfigOutOfRange, ""},
    {R"({"workspaces":[{"id":"x","keys":[],"rate":NaN,"burst":1}]})", ResultCode::ConfigNotJson, ""},
    {R"({"workspaces":[{"id":"x","keys":[],"rate":"5/s","burst":1}]})", ResultCode::ConfigSchema, "/workspaces/0/rate"},
    {R"({"workspaces":[{"id":"x","keys":[],"rate":1,"burst":0.5}]})",
     ResultCode::ConfigOutOfRange,
     "/workspaces/0/burst"},
    {R"({"workspaces":[{"id":"x","keys":[],"rate":1}]})", ResultCode::ConfigSchema, "/workspaces/0"},
    {R"({"workspaces":[{"id":"x","keys":["my-secret"],"rate":1,"burst":1}]})",
     ResultCode::ConfigSchema,
     "/workspaces/0/keys/0"},
    {R"({"workspaces":[{"id":"x","keys":["sha256:)" + std::string(64, 'G') + R"("],"rate":1,"burst":1}]})",
     ResultCode::ConfigSchema,
     "/workspaces/0/keys/0"},
    {R"({"workspaces":[{"id":"x","keys":["sha256:)" + std::string(64, 'a') + R"("],"rate":1,"burst":1}]})",
     ResultCode::ConfigContradiction,
     "/workspaces/0/keys"},
    {R"({"workspaces":[{"id":"w","override":true,"withdrawKeys":["sha256:)" + std::string(64, 'b') + R"("]}]})",
     ResultCode::ConfigUnknownReference,
     "/workspaces/0/withdrawKeys/0"},
    {R"({"workspaces":[{"id":"w","override":true,"addKeys":["sha256:)" + std::string(64, 'a') + R"("]}]})",
     ResultCode::ConfigDuplicate,
     "/workspaces/0/addKeys/0"},
    {R"({"workspaces":[{"id":"x","keys":[],"rate":1,"burst":1,"addKeys":[]}]})",
     ResultCode::ConfigContradiction,
     "/workspaces/0/addKeys"},
    {R"({"routes":[{"id":"x","pathPrefix":"/x","service":"z"}]})",
     ResultCode::ConfigUnknownReference,
     "/routes/0/service"},
    {R"({"routes":[{"id":"x","pathPrefix":"/r","methods":["POST","GET"],"service":"s"}]})",
     ResultCode::ConfigContradiction,
     "/routes/0"},
    {R"({"routes":[{"id":"x","pathPrefix":"/x/../r","service":"s"}]})",
     ResultCode::ConfigSchema,
     "/routes/0/pathPrefix"},
    {R"({"routes":[{"id":"x","pathPrefix":"/x/","service":"s"}]})", ResultCode::ConfigSchema, "/routes/0/pathPrefix"},
    {R"({"routes":[{"id":"x","pathPrefix":"/x","host":"A.b","service":"s"}]})",
     ResultCode::ConfigSchema,
     "/routes/0/host"},
    {R"({"routes":[{"id":"x","pathPrefix":"/x","methods":["FETCH"],"service":"s"}]})",
     ResultCode::ConfigSchema,
     "/routes/0/methods/0"},
    {R"({"routes":[{"id":"x","pathPrefix":"/x","service":"s","deadline":"5"}]})",
     ResultCode::ConfigSchema,
     "/routes/0/deadline"},
    {R"({"routes":[{"id":"x","pathPrefix":"/x","service":"s","deadline":"5 sec"}]})",
     ResultCode::ConfigSchema,
     "/routes/0/deadline"},
    {R"({"routes":[{"id":"x","pathPrefix":"/x","service":"s","deadline":5}]})",
     ResultCode::ConfigSchema,
     "/routes/0/deadline"},
    {R"({"routes":[{"id":"x","pathPrefix":"/x","service":"s","deadline":"0s"}]})",
     ResultCode::ConfigOutOfRange,
     "/routes/0/deadline"},
    {R"({"routes":[{"id":"x","pathPrefix":"/x","service":"s","deadline":"99999999999999999999h"}]})",
     ResultCode::ConfigSchema,
     "/routes/0/deadline"},
    {R"({"routes":[{"id":"x","pathPrefix":"/x","service":"s","deadline":"1m","retention":"1s"}]})",
     ResultCode::ConfigContradiction,
     "/routes/0/retention"},
    {R"({"backendServers":[{"id":"x","service":"z","vm":"vm-2","zone":"a","address":"127.0.0.1","port":1,"slots":1}]})",
     ResultCode::ConfigUnknownReference,
     "/backendServers/0/service"},
    {R"({"backendServers":[{"id":"x","service":"s","vm":"vm-1","zone":"a","address":"127.0.0.1","port":9001,"slots":1}]})",
     ResultCode::ConfigContradiction,
     "/backendServers/0/port"},
    {R"({"backendServers":[{"id":"x","service":"s","vm":"vm-1","zone":"b","address":"127.0.0.1","port":9002,"slots":1}]})",
     ResultCode::ConfigContradiction,
     "/backendServers/0/zone"},
    {R"({"backendServers":[{"id":"x","service":"s","vm":"vm-2","zone":"a","address":"shop.example","port":1,"slots":1}]})",
     ResultCode::ConfigSchema,
     "/backendServers/0/address"},
    {R"({"backendServers":[{"id":"x","service":"s","vm":"vm-2","zone":"a","address":"127.0.0.1","port":70000,"slots":1}]})",
     ResultCode::ConfigOutOfRange,
     "/backendServers/0/port"},
    {R"({"backendServers":[{"id":"x","service":"s","vm":"vm-2","zone":"a","address":"127.0.0.1","port":1,"slots":0}]})",
     ResultCode::ConfigOutOfRange,
     "/backendServers/0/slots"},
    {std::string(maxFileBytes + 1, ' '), ResultCode::ConfigValueTooLarge, ""},
    {std::string(100, '['), ResultCode::ConfigSchema, "/0/0/0/0/0/0/0/0/0/0/0/0/0/0/0/0"},
};

ResultCode codeOfFile(const std::string &name)
{
    const auto errors = checkFiles({{"10-base.json", validBase}, {name, "{}"}});
    return errors.empty() ? ResultCode::Ok : errors.front().code();
}

}

// An operator makes one mistake in a drop-in. The check must report exactly this error, with its file and JSON pointer.
// Guards against missed errors, wrong locations and consequential errors.
BOOST_DATA_TEST_CASE(check_ofInvalidDropIn_reportsOnlyThatError, boost::unit_test::data::make(invalidDropIns), dropIn)
{
    const auto errors = checkFiles({{"10-base.json", validBase}, {"90-drop-in.json", dropIn.text}});
    BOOST_REQUIRE_EQUAL(errors.size(), 1u);
    BOOST_TEST(base::number(errors[0].code()) == base::number(dropIn.code), errors[0].what());
    BOOST_TEST(errors[0].location().file == "90-drop-in.json");
    BOOST_TEST(errors[0].location().pointer == dropIn.pointer);
}

BOOST_AUTO_TEST_CASE(check_ofValidBase_reportsNoErrors)
{
    BOOST_TEST(checkFiles({{"10-base.json", validBase}}).empty());
}

BOOST_AUTO_TEST_CASE(check_ofSeveralMistakes_reportsAll)
{
    const auto errors = checkFiles({{"10-a.json", "{"},
                                    {"20-b.json", R"({"services":[{"id":"x","floor":2},{"id":"y","flor":1}]})"},
                                    {"30-c.json", R"({"routes":[{"id":"r","pathPrefix":"r","service":"x"}]})"}});
    BOOST_TEST(errors.size() == 4u);
}

// A folder is published before it contains any files. Guards against accepting it as valid, which would disable every
// workspace.
BOOST_AUTO_TEST_CASE(check_ofNoFilesOrEmptyFiles_isRejected)
{
    BOOST_TEST((checkFiles({}).at(0).code() == ResultCode::ConfigFolderEmpty));
    BOOST_TEST((checkFiles({{"a.json", "{}"}}).at(0).code() == ResultCode::ConfigFolderEmpty));
    BOOST_CHECK_THROW(buildConfiguration(1, {}), base::Error);
}

BOOST_AUTO_TEST_CASE(check_ofFileNames_acceptsOnlyValidOnes)
{
    BOOST_TEST((codeOfFile("90-x.json") == ResultCode::Ok));
    BOOST_TEST((codeOfFile("10-base.json") == ResultCode::ConfigDuplicate));
    for (const std::string name : {"90-x.jsn", "a b.json", "../x.json", ".json", "-x.json", "\xc3\xa9.json"}) {
        BOOST_TEST((codeOfFile(name) == ResultCode::ConfigFileName), name);
    }
    BOOST_TEST((codeOfFile(std::string(200, 'a') + ".json") == ResultCode::ConfigFileName));
}

// An operator withdraws a key with a drop-in that contains only the list of keys. Guards against a key that remains
// valid and against a changed rate.
BOOST_AUTO_TEST_CASE(override_ofKeys_withdrawsThemAndKeepsTheRate)
{
    const auto configuration = buildConfiguration(
        1, {{"10-base.json", validBase}, {"90-k.json", R"({"workspaces":[{"id":"w","override":true,"keys":[]}]})"}});
    BOOST_TEST(!configuration->workspaceOfKey(KeyFingerprint::parse(std::string(64, 'a'))));
    BOOST_TEST(configuration->workspace(base::WorkspaceId("w"))->rate == 5);
}

BOOST_AUTO_TEST_CASE(override_withAddedAndWithdrawnKeys_changesOnlyThose)
{
    const auto dropIn = [](const std::string &field, char digit) {
        return R"({"workspaces":[{"id":"w","override":true,")" + field + R"(":["sha256:)" + std::string(64, digit)
            + R"("]}]})";
    };
    const auto configuration = buildConfiguration(1,
                                                  {{"10-base.json", validBase},
                                                   {"50-add.json", dropIn("addKeys", 'b')},
                                                   {"51-add.json", dropIn("addKeys", 'c')},
                                                   {"60-withdraw.json", dropIn("withdrawKeys", 'b')}});
    BOOST_TEST(configuration->workspaceOfKey(KeyFingerprint::parse(std::string(64, 'a'))));
    BOOST_TEST(!configuration->workspaceOfKey(KeyFingerprint::parse(std::string(64, 'b'))));
    BOOST_TEST(configuration->workspaceOfKey(KeyFingerprint::parse(std::string(64, 'c'))));
}

BOOST_AUTO_TEST_CASE(override_ofOverride_isAppliedInOrderOfNames)
{
    const std::vector<ConfigurationFile> files{
        {"91-b.json", R"({"backendServers":[{"id":"b","override":true,"drain":false}]})"},
        {"10-base.json", validBase},
        {"90-a.json", R"({"backendServers":[{"id":"b","override":true,"drain":true}]})"}};
    BOOST_TEST(!buildConfiguration(1, files)->backendServer(base::BackendServerId("b"))->drain);
}

BOOST_AUTO_TEST_CASE(check_ofServiceWithoutServers_warns)
{
    const auto result = check(1, {{"10-base.json", validBase}, {"20-s.json", R"({"services":[{"id":"idle"}]})"}});
    BOOST_TEST(result.errors.empty());
    BOOST_REQUIRE_EQUAL(result.warnings.size(), 1u);
    BOOST_TEST(result.warnings[0].location().pointer == "/services/0");
}
