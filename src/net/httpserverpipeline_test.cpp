#include "papayastep/net/httpserver.h"
#include "papayastep/net/signal.h"

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <map>
#include <random>
#include <stdexcept>

using namespace papayastep;

namespace {

// Differs from those of the other tests, which run at the same time.
constexpr std::uint16_t port = 18474;

using Targets = std::vector<std::string>;

/// Answers with the target of the request. A target that contains "wait" waits until it is released; the other words
/// name faults.
class ScriptedHandler final : public net::RequestHandler
{
public:
    explicit ScriptedHandler(net::asio::io_context &context)
        : m_context(context)
    {
    }

    net::Awaitable<void> handle(net::ServerExchange &exchange) override
    {
        const std::string target(exchange.head().target());
        const auto is = [&target](std::string_view word) { return target.find(word) != std::string::npos; };
        exchange.watchClient([this, target] {
            gone.push_back(target);
            release(target);
        });
        std::string body = co_await exchange.readBody();
        started.push_back(target);
        if (is("wait")) {
            const auto far = base::SystemClock().now() + std::chrono::hours(1);
            co_await gate(target).waitUntil(far);
        }
        if (is("throw")) {
            throw std::runtime_error("thrown by the test");
        }
        if (is("stream") || is("cut")) {
            co_await stream(exchange, target, is("cut"));
            co_return;
        }
        co_await exchange.acknowledge();
        net::WholeAnswer answer = net::jsonAnswer(net::http::status::ok, "<" + target + body + ">");
        if (exchange.head().method() == net::http::verb::head) {
            answer.head.set("Target", answer.body);
        }
        if (is("large")) {
            answer.body.append(1000, 'x');
        }
        answer.close = is("close");
        const bool isSent = co_await exchange.answer(std::move(answer));
        (isSent ? sent : unsent).push_back(target);
    }

    net::Awaitable<void> stream(net::ServerExchange &exchange, const std::string &target, bool isCut)
    {
        net::ResponseHead head;
        head.result(net::http::status::ok);
        const bool isOpen = co_await exchange.beginStream(std::move(head));
        if (!isOpen) {
            unsent.push_back(target);
            co_return;
        }
        std::string part = "<" + target + ">";
        co_await exchange.writePart(std::move(part));
        if (!isCut) {
            co_await exchange.finishStream();
        }
    }

    net::WholeAnswer refusal(base::ResultCode, const std::string &) override
    {
        return net::jsonAnswer(net::http::status::bad_request, "<refused>");
    }

    net::Signal &gate(const std::string &target)
    {
        return m_gates.try_emplace(target, m_context).first->second;
    }

    void release(const std::string &target)
    {
        gate(target).notify();
    }

    Targets started;
    Targets gone;
    Targets sent;
    Targets unsent;

private:
    net::asio::io_context &m_context;
    std::map<std::string, net::Signal> m_gates;
};

std::string request(const std::string &method, const std::string &target, const std::string &rest = "\r\n")
{
    return method + " " + target + " HTTP/1.1\r\nHost: a.example\r\n" + rest;
}

std::string get(const std::string &target)
{
    return request("GET", target);
}

net::ServerLimits pipelining(std::size_t requests, std::size_t bytes = 262144)
{
    net::ServerLimits limits;
    limits.pipelinedRequests = requests;
    limits.pipelinedBytes = bytes;
    return limits;
}

/// A server and a caller on an open connection, in one thread that runs step by step.
struct Pipeline
{
    explicit Pipeline(const net::ServerLimits &limits = pipelining(16))
        : handler(context)
        , server(context, {"127.0.0.1", port}, limits, handler)
    {
        caller.connect({net::asio::ip::make_address("127.0.0.1"), port});
        caller.non_blocking(true);
        work();
    }

    void work()
    {
        for (int round = 0; round < 3; ++round) {
            context.poll();
            context.restart();
            receive();
        }
    }

    void send(const std::string &bytes)
    {
        net::asio::write(caller, net::asio::buffer(bytes));
        work();
    }

    void release(const std::string &target)
    {
        handler.release(target);
        work();
    }

    void receive()
    {
        char part[4096];
        net::beast::error_code error;
        while (!error) {
            received.append(part, caller.read_some(net::asio::buffer(part), error));
        }
        isClosed = isClosed || error != net::asio::error::would_block;
    }

    /// Returns the targets in the answers, in the order of the answers.
    Targets answers() const
    {
        Targets targets;
        for (std::size_t at = received.find('<'); at != std::string::npos; at = received.find('<', at + 1)) {
            targets.push_back(received.substr(at + 1, received.find('>', at) - at - 1));
        }
        return targets;
    }

    std::size_t count(std::string_view text) const
    {
        std::size_t found = 0;
        for (std::size_t at = received.find(text); at != std::string::npos; at = received.find(text, at + 1)) {
            ++found;
        }
        return found;
    }

    /// Runs the server until `condition` holds, for at most 10 seconds. Returns whether it holds.
    template<typename Condition>
    bool workUntil(const Condition &condition)
    {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!condition() && std::chrono::steady_clock::now() < deadline) {
            context.run_one_for(std::chrono::milliseconds(10));
            context.restart();
            receive();
        }
        return condition();
    }

    bool isEnded()
    {
        return workUntil([this] { return isClosed && server.inFlight() == 0; });
    }

    net::asio::io_context context;
    ScriptedHandler handler;
    net::HttpServer server;
    net::asio::io_context callerContext;
    net::tcp::socket caller{callerContext};
    std::string received;
    bool isClosed = false;
};

}

BOOST_AUTO_TEST_SUITE(httpServerPipeline)

// Guards against a slow request that delays the runs of those behind it, and against answers in the order in which they
// became ready.
BOOST_AUTO_TEST_CASE(requests_behindASlowOne_runAtOnceAndAreAnsweredInOrder)
{
    Pipeline pipeline;
    pipeline.send(get("/wait1") + get("/2") + request("HEAD", "/3") + get("/stream4") + get("/5"));
    BOOST_TEST(pipeline.handler.started == (Targets{"/wait1", "/2", "/3", "/stream4", "/5"}),
               boost::test_tools::per_element());
    BOOST_TEST(pipeline.received.empty());
    pipeline.release("/wait1");
    BOOST_TEST(pipeline.answers() == (Targets{"/wait1", "/2", "/3", "/stream4", "/5"}),
               boost::test_tools::per_element());
    BOOST_TEST(pipeline.count("HTTP/1.1 200") == 5U);
    BOOST_TEST(pipeline.count("Connection: close") == 0U);
    BOOST_TEST(pipeline.server.pipelineCounters().startedConcurrently == 4U);
    BOOST_TEST(pipeline.server.inFlight() == 0U);
}

// Guards against an interim answer of a later request, which the caller would attribute to an earlier one.
BOOST_AUTO_TEST_CASE(acknowledge_beforeItsTurn_isNotSent)
{
    Pipeline pipeline;
    pipeline.send(get("/wait1") + get("/2"));
    BOOST_TEST(pipeline.count("102 Processing") == 0U);
    pipeline.release("/wait1");
    BOOST_TEST(pipeline.count("102 Processing") == 1U);
}

// Guards against a request with effects that runs beside others, and against a body that is read as a request.
BOOST_AUTO_TEST_CASE(request_withBody_waitsForEarlierAnswersAndDelaysLaterOnes)
{
    Pipeline pipeline;
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n2\r\n-a\r\n0\r\n\r\n";
    pipeline.send(get("/wait1") + request("POST", "/wait2", chunked) + get("/3")
                  + request("POST", "/4", "Content-Length: 2\r\nExpect: 100-continue\r\n\r\n-b") + get("/5"));
    BOOST_TEST(pipeline.handler.started == Targets{"/wait1"}, boost::test_tools::per_element());
    pipeline.release("/wait1");
    BOOST_TEST(pipeline.handler.started == (Targets{"/wait1", "/wait2"}), boost::test_tools::per_element());
    pipeline.release("/wait2");
    BOOST_TEST(pipeline.answers() == (Targets{"/wait1", "/wait2-a", "/3", "/4-b", "/5"}),
               boost::test_tools::per_element());
    BOOST_TEST(pipeline.count("100 Continue") == 1U);
}

// Guards against unlimited memory for answers that wait behind a slow one.
BOOST_AUTO_TEST_CASE(answers_beyondTheBound_pauseReading)
{
    Pipeline pipeline(pipelining(16, 2000));
    pipeline.send(get("/wait1"));
    for (int number = 2; number < 8; ++number) {
        pipeline.send(get("/large" + std::to_string(number)));
    }
    BOOST_TEST(pipeline.handler.started.size() == 3U);
    BOOST_TEST(pipeline.server.pipelineCounters().pauses == 1U);
    pipeline.release("/wait1");
    BOOST_TEST(pipeline.answers().size() == 7U);
}

BOOST_AUTO_TEST_CASE(requests_beyondTheBound_wait)
{
    Pipeline pipeline(pipelining(2));
    pipeline.send(get("/wait1") + get("/wait2") + get("/3"));
    BOOST_TEST(pipeline.handler.started.size() == 2U);
    pipeline.release("/wait2");
    BOOST_TEST(pipeline.handler.started.size() == 2U);
    pipeline.release("/wait1");
    BOOST_TEST(pipeline.answers() == (Targets{"/wait1", "/wait2", "/3"}), boost::test_tools::per_element());
}

// Guards against a request that runs behind one whose answer closes the connection: its caller sends it again.
BOOST_AUTO_TEST_CASE(requests_behindTheLastOne_areNotStarted)
{
    const std::string http10 = "GET /wait2 HTTP/1.0\r\nHost: a.example\r\n\r\n";
    for (const std::string &lastOne : {request("GET", "/wait2", "Connection: close\r\n\r\n"), http10}) {
        Pipeline pipeline;
        pipeline.send(get("/wait1") + lastOne + get("/3"));
        pipeline.release("/wait2");
        pipeline.release("/wait1");
        BOOST_TEST(pipeline.isEnded());
        BOOST_TEST(pipeline.handler.started == (Targets{"/wait1", "/wait2"}), boost::test_tools::per_element());
        BOOST_TEST(pipeline.answers() == (Targets{"/wait1", "/wait2"}), boost::test_tools::per_element());
        BOOST_TEST(pipeline.count("Connection: close") == 1U);
        BOOST_TEST(pipeline.received.find("Connection: close") > pipeline.received.find("</wait1>"));
    }
}

// A handler wants the connection closed while later requests already run. Guards against a closing answer before
// theirs.
BOOST_AUTO_TEST_CASE(answer_thatCloses_isFollowedByThoseOfStartedRequests)
{
    Pipeline pipeline;
    pipeline.send(get("/wait1close") + get("/wait2"));
    pipeline.release("/wait1close");
    pipeline.send(get("/3"));
    pipeline.release("/wait2");
    BOOST_TEST(pipeline.isEnded());
    BOOST_TEST(pipeline.answers() == (Targets{"/wait1close", "/wait2"}), boost::test_tools::per_element());
    BOOST_TEST(pipeline.count("Connection: close") == 1U);
    BOOST_TEST(pipeline.handler.started.size() == 2U);
}

// Guards against valid requests that lose their answers through a malformed one behind them.
BOOST_AUTO_TEST_CASE(request_malformedBehindGoodOnes_isRefusedAfterTheirAnswers)
{
    Pipeline pipeline;
    pipeline.send(get("/wait1") + get("/2") + "GET /3 HTTP/1.1\r\n folded\r\n\r\n" + get("/4"));
    BOOST_TEST(pipeline.handler.started.size() == 2U);
    pipeline.release("/wait1");
    BOOST_TEST(pipeline.isEnded());
    BOOST_TEST(pipeline.answers() == (Targets{"/wait1", "/2", "refused"}), boost::test_tools::per_element());
    BOOST_TEST(pipeline.count("Connection: close") == 1U);
}

// Guards against a later answer that the caller takes for the missing one or for the rest of one that was cut off.
BOOST_AUTO_TEST_CASE(answer_missingOrCutOff_endsTheConnectionAndTellsLaterHandlers)
{
    for (const std::string fault : {"/wait2throw", "/wait2cut"}) {
        Pipeline pipeline;
        pipeline.send(get("/wait1") + get(fault) + get("/3") + get("/wait4"));
        pipeline.release(fault);
        BOOST_TEST(pipeline.handler.gone.empty());
        pipeline.release("/wait1");
        BOOST_TEST(pipeline.isEnded());
        BOOST_TEST(pipeline.answers().front() == "/wait1");
        BOOST_TEST(pipeline.received.find("/3") == std::string::npos);
        BOOST_TEST(pipeline.count("Connection: close") == 0U);
        BOOST_TEST(pipeline.received.find("\r\n0\r\n") == std::string::npos);
        BOOST_TEST(pipeline.handler.gone == (Targets{"/3", "/wait4"}), boost::test_tools::per_element());
        std::sort(pipeline.handler.unsent.begin(), pipeline.handler.unsent.end());
        BOOST_TEST(pipeline.handler.unsent == (Targets{"/3", "/wait4"}), boost::test_tools::per_element());
    }
}

// Guards against runs that continue after their caller has disconnected because bytes of its next request hide the end
// of the connection, both with a pipeline and without one.
BOOST_AUTO_TEST_CASE(disconnect_behindUnreadBytes_isReported)
{
    for (const std::size_t requests : {1, 2, 16}) {
        Pipeline pipeline(pipelining(requests));
        pipeline.send(get("/wait1") + get("/wait2"));
        pipeline.send(request("POST", "/3", "Content-Length: 100000\r\n\r\n") + std::string(100'000, 'x'));
        const std::size_t open = std::min<std::size_t>(requests, 2);
        BOOST_TEST(pipeline.handler.started.size() == open);
        pipeline.caller.shutdown(net::tcp::socket::shutdown_send);
        BOOST_TEST(pipeline.workUntil([&] { return pipeline.handler.gone.size() == open; }));
        BOOST_TEST(pipeline.workUntil([&] { return pipeline.handler.started.size() >= open; }));
    }
}

// Guards against handlers that run on for a caller that can't be answered any more.
BOOST_AUTO_TEST_CASE(write_afterReset_tellsAllHandlers)
{
    Pipeline pipeline;
    pipeline.send(get("/wait1") + get("/wait2") + get("/wait3"));
    pipeline.caller.set_option(net::asio::socket_base::linger(true, 0));
    pipeline.caller.close();
    BOOST_TEST(pipeline.workUntil([&] { return pipeline.server.connections() == 0; }));
    BOOST_TEST(pipeline.handler.gone.size() == 3U);
    BOOST_TEST(pipeline.handler.sent.empty());
    BOOST_TEST(pipeline.server.inFlight() == 0U);
}

// Guards against a planned stop that loses answers, and against one that lets callers send a request again that has
// run.
BOOST_AUTO_TEST_CASE(stop_severalOpenRequests_answersAllAndClosesWithTheLast)
{
    Pipeline pipeline(pipelining(3));
    pipeline.send(get("/wait1") + get("/2") + get("/wait3") + get("/4"));
    pipeline.server.stop();
    pipeline.work();
    pipeline.release("/wait3");
    pipeline.release("/wait1");
    BOOST_TEST(pipeline.isEnded());
    BOOST_TEST(pipeline.answers() == (Targets{"/wait1", "/2", "/wait3"}), boost::test_tools::per_element());
    BOOST_TEST(pipeline.count("Connection: close") == 1U);
    BOOST_TEST(pipeline.received.find("Connection: close") > pipeline.received.find("</2>"));
}

// Without a pipeline, callers of a stopping server see the same as with one (see httpserver_test.cpp).
BOOST_AUTO_TEST_CASE(stop_requestJustRead_isAnsweredOrReset)
{
    for (int steps = 0; steps < 12; ++steps) {
        Pipeline pipeline;
        net::asio::write(pipeline.caller, net::asio::buffer(get("/1")));
        for (int step = 0; step < steps; ++step) {
            pipeline.context.poll_one();
        }
        pipeline.server.stop();
        BOOST_TEST(pipeline.isEnded());
        BOOST_TEST((pipeline.answers() == pipeline.handler.started));
    }
}

BOOST_AUTO_TEST_CASE(stop_idleConnection_isClosed)
{
    Pipeline pipeline;
    pipeline.send(get("/1"));
    pipeline.server.stop();
    BOOST_TEST(pipeline.isEnded());
    BOOST_TEST(pipeline.answers().size() == 1U);
}

// Callers send arbitrary bytes. Guards against answers out of order and against requests that remain counted, for which
// a planned stop would wait.
BOOST_AUTO_TEST_CASE(bytes_mutatedPipelines_areAnsweredInOrder)
{
    constexpr int rounds = 40;
    std::mt19937_64 random(20261204);
    const std::string folder = PAPAYASTEP_SOURCE_DIR "/src/fuzz/corpus/pipeline/";
    const Targets files{"bodies", "expect", "http10", "last", "malformed", "safe"};
    for (std::size_t round = 0; round < rounds * files.size(); ++round) {
        std::ifstream file(folder + files[round % files.size()], std::ios::binary);
        std::string bytes(std::istreambuf_iterator<char>(file), {});
        BOOST_REQUIRE(!bytes.empty());
        for (std::uint64_t left = random() % 4; left > 0; --left) {
            const std::size_t at = random() % bytes.size();
            random() % 2 == 0 ? bytes.erase(at, 1 + random() % 8) : bytes.insert(at, 1, static_cast<char>(random()));
        }
        Pipeline pipeline;
        const std::size_t split = random() % bytes.size();
        pipeline.send(bytes.substr(0, split));
        net::beast::error_code ignored;
        net::asio::write(pipeline.caller, net::asio::buffer(bytes.substr(split)), ignored);
        pipeline.work();
        pipeline.caller.shutdown(net::tcp::socket::shutdown_send, ignored);
        BOOST_TEST_CONTEXT("round " << round)
        {
            BOOST_TEST(pipeline.workUntil([&] { return pipeline.server.connections() == 0; }));
            BOOST_TEST(pipeline.server.inFlight() == 0U);
            Targets answers = pipeline.answers();
            std::erase(answers, "refused");
            const Targets &started = pipeline.handler.started;
            BOOST_TEST(answers.size() <= started.size());
            for (std::size_t at = 0; at < std::min(answers.size(), started.size()); ++at) {
                BOOST_TEST(answers[at].starts_with(started[at]));
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
