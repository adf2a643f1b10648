#include "papayastep/base/error.h"
#include "papayastep/net/platformanswers.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace papayastep;
using namespace papayastep::net;
using nlohmann::json;

namespace {

struct AnswerFixture
{
    static bool isInvalid(const base::Error &error)
    {
        return error.code() == base::ResultCode::PlatformAnswerInvalid;
    }
    void refusesIndex(const std::string &pointer, const json &value) const
    {
        json changed = index;
        changed[json::json_pointer(pointer)] = value;
        BOOST_CHECK_EXCEPTION(parsePublishedIndex(changed.dump()), base::Error, isInvalid);
    }
    void refusesVms(const std::string &pointer, const json &value) const
    {
        json changed = vms;
        changed[json::json_pointer(pointer)] = value;
        BOOST_CHECK_EXCEPTION(parseVmList(changed.dump()), base::Error, isInvalid);
    }

    json index = json::parse(R"({"revision": 7, "files": [{"name": "a.json", "digest": "00ff", "bytes": 3}]})");
    json vms = json::parse(R"({"version": 4, "vms": [{"id": "vm-2", "zone": "b", "address": "127.0.0.1",
        "callerPort": 1, "hopPort": 2, "peerPort": 3, "adminPort": 65535}, {"id": "vm-1", "zone": "a",
        "address": "::1", "callerPort": 1, "hopPort": 2, "peerPort": 3, "adminPort": 4, "leaving": true}]})");
};

}

BOOST_FIXTURE_TEST_CASE(answers_wellFormed_areParsed, AnswerFixture)
{
    BOOST_TEST((parsePublishedIndex(index.dump()) == PublishedIndex{7, {{"a.json", "00ff", 3}}}));
    const auto list = parseVmList(vms.dump());
    BOOST_TEST(list.version == 4u);
    BOOST_REQUIRE(list.vms.size() == 2u);
    BOOST_TEST((list.vms[0].id == base::VmId("vm-1")));
    BOOST_TEST(list.vms[0].leaving);
    BOOST_TEST(list.vms[1].adminPort == 65535);
}

// The platform answers with revision -1. Guards against reading it as the greatest revision, after which the node would
// refuse every later configuration as older and nothing that operators publish would take effect.
BOOST_FIXTURE_TEST_CASE(index_withNumberOutOfRange_isRefused, AnswerFixture)
{
    for (const json &value : {json(-1), json(0), json(1.5), json("1"), json(nullptr), json(true)}) {
        refusesIndex("/revision", value);
    }
    refusesIndex("/files/0/bytes", -1);
    refusesVms("/version", -1);
}

// Guards against a port above 65535 that is truncated to another port, so that nodes call the wrong process.
BOOST_FIXTURE_TEST_CASE(vmList_withPortOutOfRange_isRefused, AnswerFixture)
{
    for (const char *port : {"callerPort", "hopPort", "peerPort", "adminPort"}) {
        refusesVms("/vms/0/" + std::string(port), 70000);
        refusesVms("/vms/0/" + std::string(port), -1);
    }
}

// A file name becomes a part of a URL. Guards against a name that points out of the folder and fetches something else.
BOOST_FIXTURE_TEST_CASE(index_withNameThatIsNotPlain_isRefused, AnswerFixture)
{
    for (const std::string name : {"", ".", "..", "a/b", "a b", "a?b", "a\nb"}) {
        refusesIndex("/files/0/name", name);
        refusesIndex("/files/0/digest", name);
    }
    refusesIndex("/files/1", index["files"][0]);
    refusesIndex("/files", json::object());
}

BOOST_FIXTURE_TEST_CASE(vmList_withBadVm_isRefused, AnswerFixture)
{
    refusesVms("/vms/0/id", "");
    refusesVms("/vms/0/id", "vm-1");
    refusesVms("/vms/0/zone", "");
    refusesVms("/vms/0/address", "localhost");
    refusesVms("/vms/0/address", std::string("127.0.0.1\0x", 11));
    refusesVms("/vms", json::object());
}

BOOST_FIXTURE_TEST_CASE(answers_notValidJson_areRefused, AnswerFixture)
{
    for (const std::string text : {"", "{", "[]", "null", "\xff"}) {
        BOOST_CHECK_EXCEPTION(parsePublishedIndex(text), base::Error, isInvalid);
        BOOST_CHECK_EXCEPTION(parseVmList(text), base::Error, isInvalid);
    }
}
