#include "command.h"
#include "httpget.h"

#include "papayastep/config/check.h"
#include "papayastep/config/folder.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <sstream>
#include <thread>

using namespace papayastep;
using namespace papayastep::ctl;

namespace {

const std::string caribrite = PAPAYASTEP_SOURCE_DIR "/examples/caribrite/config";

struct CommandFixture
{
    std::istringstream in;
    std::ostringstream out;
    std::ostringstream err;

    int run(const std::vector<std::string> &arguments)
    {
        Streams streams{in, out, err};
        return runProgram(arguments, streams);
    }
    bool printed(const std::string &text) const
    {
        return out.str().find(text) != std::string::npos;
    }

    /// Returns the errors of the example folder with the printed fragment added as a drop-in.
    std::vector<base::Error> errorsWithDropIn(const std::string &fragment) const
    {
        auto files = config::readFolder(caribrite);
        files.push_back({"90-drop-in.json", fragment});
        return config::checkFiles(files);
    }
};

/// HTTP server that answers one request with `body` and then stops.
class OneAnswerServer
{
public:
    explicit OneAnswerServer(const std::string &body)
        : m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_thread([this, body] { serve(body); })
    {
    }
    ~OneAnswerServer()
    {
        m_thread.join();
    }
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
    std::string request;

private:
    void serve(const std::string &body)
    {
        auto socket = m_acceptor.accept();
        boost::asio::streambuf buffer;
        boost::asio::read_until(socket, buffer, "\r\n\r\n");
        std::istream stream(&buffer);
        std::getline(stream, request);
        const std::string answer
            = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        boost::asio::write(socket, boost::asio::buffer(answer));
    }

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

}

BOOST_FIXTURE_TEST_CASE(program_withoutACommand_printsHelpAndUsageCode, CommandFixture)
{
    BOOST_TEST(run({}) == exitUsage);
    BOOST_TEST(run({"fly"}) == exitUsage);
    BOOST_TEST(run({"check"}) == exitUsage);
    BOOST_TEST(run({"check", "--wings"}) == exitUsage);
    BOOST_TEST(run({"--help"}) == exitOk);
    BOOST_TEST(run({"--version"}) == exitOk);
}

BOOST_FIXTURE_TEST_CASE(everyCommand_withHelp_printsItsUsage, CommandFixture)
{
    for (const auto &command : allCommands()) {
        Streams streams{in, out, err};
        BOOST_TEST(command->run({"--help"}, streams) == exitOk);
        BOOST_TEST(printed("papayastep " + command->name() + " " + command->usage()));
    }
}

BOOST_FIXTURE_TEST_CASE(check_ofTheExample_reportsItValid, CommandFixture)
{
    BOOST_TEST(run({"check", caribrite}) == exitOk);
    BOOST_TEST(printed("good: 8 workspaces, 2 services, 4 routes, 22 backend servers, 0 warnings"));
}

BOOST_FIXTURE_TEST_CASE(check_ofAMissingFolder_failsWithItsErrorCode, CommandFixture)
{
    BOOST_TEST(run({"check", caribrite + "/nowhere"}) == exitFailed);
    BOOST_TEST(err.str().find("1002") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(show_ofTheExample_printsAValidConfiguration, CommandFixture)
{
    BOOST_TEST(run({"show", caribrite}) == exitOk);
    BOOST_TEST(config::checkFiles({{"all.json", out.str()}}).empty());
}

BOOST_FIXTURE_TEST_CASE(diff_ofTwoExamples_listsEntries, CommandFixture)
{
    BOOST_TEST(run({"diff", caribrite, PAPAYASTEP_SOURCE_DIR "/examples/tepla-noha/config"}) == exitOk);
    BOOST_TEST(printed("removed services counter"));
    BOOST_TEST(printed("added   services booking"));
}

BOOST_FIXTURE_TEST_CASE(explain_ofARefund_namesRouteAndServers, CommandFixture)
{
    BOOST_TEST(run({"explain", caribrite, "POST", "/refunds"}) == exitOk);
    BOOST_TEST(printed("route: refunds"));
    BOOST_TEST(printed("runs at most once"));
    BOOST_TEST(printed("counter-14"));
    BOOST_TEST(run({"explain", caribrite, "GET", "/nowhere"}) == exitFailed);
}

BOOST_FIXTURE_TEST_CASE(explain_withAWithdrawnKey_fails, CommandFixture)
{
    BOOST_TEST(run({"explain", caribrite, "GET", "/balances", "--key-fingerprint", std::string(64, 'a')})
               == exitFailed);
    BOOST_TEST(printed("unknown or withdrawn"));
}

// An operator creates a key and adds the printed file to the configuration folder. If the fragment replaced the
// workspace's other keys, all callers of the workspace would lose access at once.
BOOST_FIXTURE_TEST_CASE(newKey_withItsFragment_isValidBesideTheExistingKeys, CommandFixture)
{
    BOOST_TEST(run({"key", "new", "rum-shops"}) == exitOk);
    const std::string text = out.str();
    const std::string secret = text.substr(text.find('\n') + 1, 43);
    auto files = config::readFolder(caribrite);
    files.push_back({"90-key.json", text.substr(text.find('{'))});
    const auto configuration = config::buildConfiguration(1, files);
    BOOST_REQUIRE(configuration->workspaceOfKey(config::fingerprintOf(secret)));
    BOOST_TEST(configuration->workspaceOfKey(config::fingerprintOf(secret))->keys.size() == 3u);
}

BOOST_FIXTURE_TEST_CASE(fingerprint_ofASecretOnStandardInput_isItsSha256, CommandFixture)
{
    in.str("abc\r\n");
    BOOST_TEST(run({"key", "fingerprint"}) == exitOk);
    BOOST_TEST(out.str() == "sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad\n");
}

BOOST_FIXTURE_TEST_CASE(withdrawal_ofAnExampleKey_isAValidDropIn, CommandFixture)
{
    const auto configuration = config::buildConfiguration(1, config::readFolder(caribrite));
    const auto key = configuration->workspace(base::WorkspaceId("rum-shops"))->keys[0];
    BOOST_TEST(run({"key", "withdraw", "rum-shops", "sha256:" + key.toString()}) == exitOk);
    BOOST_TEST(errorsWithDropIn(out.str()).empty());
}

BOOST_FIXTURE_TEST_CASE(drain_ofAServer_isAValidDropIn, CommandFixture)
{
    BOOST_TEST(run({"drain", "counter-3"}) == exitOk);
    BOOST_TEST(errorsWithDropIn(out.str()).empty());
}

// An operator mistypes --output and names an existing file of the configuration folder. If the command overwrote the
// file, a part of the configuration would be lost.
BOOST_FIXTURE_TEST_CASE(output_toAnExistingFile_isRefused, CommandFixture)
{
    const std::string existing = caribrite + "/10-services.json";
    BOOST_TEST(run({"drain", "counter-3", "--output", existing}) == exitUsage);
    BOOST_TEST(config::checkFiles(config::readFolder(caribrite)).empty());
}

BOOST_FIXTURE_TEST_CASE(status_ofALiveAndADeadNode_showsBothAndFails, CommandFixture)
{
    const OneAnswerServer node(R"({"vm":"vm-01","zone":"a","state":"serving","revision":7,"newsAgeMs":1234.5,
        "servers":[{"availability":"usable"},{"availability":"ejected"}]})");
    BOOST_TEST(run({"status", "--node", node.address(), "127.0.0.1:1"}) == exitFailed);
    BOOST_TEST(printed("vm-01"));
    BOOST_TEST(printed("1.2 s"));
    BOOST_TEST(printed("1/2"));
    BOOST_TEST(printed("no answer"));
}

BOOST_FIXTURE_TEST_CASE(explain_ofALiveNode_queriesIt, CommandFixture)
{
    std::string request;
    {
        OneAnswerServer node("{}");
        BOOST_TEST(run({"explain", "--node", node.address(), "GET", "/a b&c"}) == exitOk);
        request = node.request;
    }
    BOOST_TEST(request.starts_with("GET /explain?method=GET&path=%2Fa%20b%26c&host= HTTP/1.1"));
}
