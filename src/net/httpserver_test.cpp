#include "papayastep/net/httpserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <optional>
#include <sys/resource.h>
#include <unistd.h>

using namespace papayastep;

namespace {

// Below the ephemeral port range, so that an outgoing connection does not occupy the port.
constexpr std::uint16_t port = 18471;
constexpr std::string_view requestText = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n";

class AnswersAll final : public net::RequestHandler
{
public:
    bool readsBodies = true;
    unsigned status = 200;
    std::string length; ///< Length that the answer claims; empty if it claims none.

    net::Awaitable<void> handle(net::ServerExchange &exchange) override
    {
        if (readsBodies) {
            co_await exchange.readBody();
        }
        net::WholeAnswer answer = net::jsonAnswer(net::http::status::ok, "{}\n");
        answer.head.result(status);
        if (!length.empty()) {
            answer.head.set(net::http::field::content_length, length);
        }
        co_await exchange.answer(std::move(answer));
    }
    net::WholeAnswer refusal(base::ResultCode, const std::string &) override
    {
        return net::jsonAnswer(net::http::status::bad_request, "{}\n");
    }
};

/// A server and a caller on an open connection, in one thread that runs step by step.
struct OpenConnectionFixture
{
    explicit OpenConnectionFixture(const net::ServerLimits &limits = {})
        : server(context, {"127.0.0.1", port}, limits, handler)
    {
        caller.connect({net::asio::ip::make_address("127.0.0.1"), port});
        context.poll();
    }

    /// Sends `bytes` in parts that fit into the buffers of the connection, and lets the server read each part.
    void send(std::string_view bytes)
    {
        constexpr std::size_t partBytes = 4096;
        for (; !bytes.empty(); bytes.remove_prefix(std::min(partBytes, bytes.size()))) {
            net::asio::write(caller, net::asio::buffer(bytes.data(), std::min(partBytes, bytes.size())));
            context.poll();
        }
    }

    /// Returns what the caller reads until the end of the connection, or nothing if the connection was reset.
    std::optional<std::string> readToEnd()
    {
        std::string text;
        char part[512];
        for (;;) {
            net::beast::error_code error;
            const std::size_t bytes = caller.read_some(net::asio::buffer(part), error);
            text.append(part, bytes);
            if (error == net::asio::error::eof) {
                return text;
            }
            if (error) {
                return std::nullopt;
            }
        }
    }

    /// Runs the server until `condition` holds, for at most 10 seconds. Returns whether it holds.
    template<typename Condition>
    bool workUntil(const Condition &condition)
    {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!condition() && std::chrono::steady_clock::now() < deadline) {
            context.run_one_for(std::chrono::milliseconds(100));
        }
        return condition();
    }

    net::asio::io_context context;
    AnswersAll handler;
    net::HttpServer server;
    net::asio::io_context callerContext;
    net::asio::ip::tcp::socket caller{callerContext};
};

/// Prevents this process from opening any further file descriptor during the lifetime of the object.
class NoDescriptorLeft
{
public:
    NoDescriptorLeft()
    {
        ::getrlimit(RLIMIT_NOFILE, &m_before);
        rlimit lowered = m_before;
        // The kernel assigns the lowest free descriptor.
        const int lowestFree = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
        ::close(lowestFree);
        lowered.rlim_cur = static_cast<rlim_t>(lowestFree);
        ::setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~NoDescriptorLeft()
    {
        ::setrlimit(RLIMIT_NOFILE, &m_before);
    }
    NoDescriptorLeft(const NoDescriptorLeft &) = delete;
    NoDescriptorLeft &operator=(const NoDescriptorLeft &) = delete;

private:
    rlimit m_before = {};
};

}

BOOST_AUTO_TEST_SUITE(httpServer)

// A node stops while a caller sends its next request on a kept connection. If the node had read the bytes and closed
// the connection, the caller could not know whether the request has run. So the request is answered, or its bytes stay
// unread and the connection is reset, which callers may take as "not run".
BOOST_AUTO_TEST_CASE(stop_requestJustReadFromKeptConnection_isAnswered)
{
    constexpr int stepsOfARequest = 12;
    for (int steps = 0; steps < stepsOfARequest; ++steps) {
        OpenConnectionFixture open;
        net::asio::write(open.caller, net::asio::buffer(requestText.data(), requestText.size()));
        for (int step = 0; step < steps; ++step) {
            open.context.poll_one();
        }
        open.server.stop();
        open.context.poll();
        const auto answer = open.readToEnd();
        BOOST_TEST_CONTEXT("stopped after " << steps << " steps")
        {
            BOOST_TEST((!answer || answer->starts_with("HTTP/1.1 200")));
        }
    }
}

// Guards against a connection that is closed at each refusal, with the requests that its caller has sent behind it.
BOOST_FIXTURE_TEST_CASE(answer_beforeReadingARequestWithoutABody_keepsTheConnection, OpenConnectionFixture)
{
    handler.readsBodies = false;
    send(requestText);
    send(requestText);
    server.stop();
    context.poll();
    const std::string answers = readToEnd().value_or("reset");
    BOOST_TEST(answers.find("close") == std::string::npos);
    BOOST_TEST(answers.find("HTTP/1.1 200", 1) != std::string::npos);
}

// Guards against an answer whose end its caller can't find, because the library has no name for the status.
BOOST_FIXTURE_TEST_CASE(answer_withAStatusThatIsNotRegistered_hasALength, OpenConnectionFixture)
{
    handler.status = 209;
    send(requestText);
    server.stop();
    context.poll();
    BOOST_TEST(readToEnd().value_or("reset").find("Content-Length: 3\r\n") != std::string::npos);
}

// Guards against a caller that waits for the bytes of a body that never come.
BOOST_FIXTURE_TEST_CASE(answer_withAStatusThatHasNoBody_hasNoLength, OpenConnectionFixture)
{
    handler.status = 204;
    handler.length = "4";
    send(requestText);
    server.stop();
    context.poll();
    const std::string answer = readToEnd().value_or("reset");
    BOOST_TEST(answer.starts_with("HTTP/1.1 204"));
    BOOST_TEST(answer.find("Content-Length") == std::string::npos);
    BOOST_TEST(answer.ends_with("\r\n\r\n"));
}

// Guards against a body that is read as the next request.
BOOST_FIXTURE_TEST_CASE(answer_beforeReadingABody_closesTheConnection, OpenConnectionFixture)
{
    handler.readsBodies = false;
    send("POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 100\r\n\r\n");
    BOOST_TEST(readToEnd().value_or("reset").find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(stop_idleConnection_isClosed)
{
    OpenConnectionFixture open;
    open.server.stop();
    open.context.poll();
    BOOST_TEST(open.readToEnd().value_or("reset").empty());
    BOOST_TEST(open.server.inFlight() == 0U);
}

// A process has used up its file descriptors. Guards against callers that wait in the listen queue until their own
// timeouts: each connection is closed at once, so that its caller can use another node, and callers are served again
// when descriptors become free.
BOOST_AUTO_TEST_CASE(connect_withoutFreeDescriptor_isClosedUntilOneIsFree)
{
    OpenConnectionFixture open;
    net::tcp::socket second(open.callerContext, net::tcp::v4());
    net::tcp::socket third(open.callerContext, net::tcp::v4());
    const net::tcp::endpoint listener{net::asio::ip::make_address("127.0.0.1"), port};
    {
        const NoDescriptorLeft noDescriptorLeft;
        second.connect(listener);
        BOOST_TEST(open.workUntil([&] { return open.server.refusedConnections() == 1U; }));
    }
    char byte = 0;
    net::beast::error_code error;
    second.read_some(net::asio::buffer(&byte, 1), error);
    BOOST_TEST((error == net::asio::error::eof || error == net::asio::error::connection_reset));
    third.connect(listener);
    BOOST_TEST(open.workUntil([&] { return open.server.connections() == 2U; }));
}

// With a raised header limit, a caller sends a field of more than 64 KiB, for which the HTTP library throws. Guards
// against an exception that leaves the event loop, so that one request ends the node with the requests of all other
// callers.
BOOST_AUTO_TEST_CASE(request_fieldLongerThanTheLibrarySupports_isRefused)
{
    net::ServerLimits limits;
    limits.headerBytes = 256 * 1024;
    OpenConnectionFixture open(limits);
    open.send("GET / HTTP/1.1\r\nHost: a.example\r\nLong: " + std::string(70'000, 'x') + "\r\n\r\n");
    BOOST_TEST(open.readToEnd().value_or("reset").starts_with("HTTP/1.1 400"));
    BOOST_TEST(open.server.inFlight() == 0U);
}

// Fields may also follow a chunked body, where the header limit is not checked.
BOOST_AUTO_TEST_CASE(request_trailerLongerThanTheLibrarySupports_isRefused)
{
    OpenConnectionFixture open;
    open.send("POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nLong: "
              + std::string(70'000, 'x') + "\r\n\r\n");
    BOOST_TEST(!open.readToEnd().value_or("reset").starts_with("HTTP/1.1 200"));
    BOOST_TEST(open.server.inFlight() == 0U);
}

// The header limit is raised while connections are open. Guards against a long header on such a connection that ends
// its coroutine without an answer: its request would count as in flight for ever, and the next planned stop of the node
// would wait for it until the stop times out.
BOOST_AUTO_TEST_CASE(request_longHeaderOnConnectionOlderThanTheLimit_isAnswered)
{
    OpenConnectionFixture open;
    net::ServerLimits limits;
    limits.headerBytes = 256 * 1024;
    open.server.setLimits(limits);
    std::string request = "GET / HTTP/1.1\r\nHost: a.example\r\n";
    for (int field = 0; field < 100; ++field) {
        request += "Field-" + std::to_string(field) + ": " + std::string(1000, 'x') + "\r\n";
    }
    open.send(request + "\r\n");
    open.server.stop();
    open.context.poll();
    BOOST_TEST(open.readToEnd().value_or("reset").starts_with("HTTP/1.1 200"));
    BOOST_TEST(open.server.inFlight() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
