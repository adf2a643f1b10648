#include "papayastep/base/clock.h"
#include "papayastep/base/error.h"
#include "papayastep/net/httpget.h"
#include "papayastep/net/task.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

#include <array>

using namespace papayastep;

namespace {

/// An exchange with a server that answers with the bytes that a test gives.
struct ExchangeFixture
{
    explicit ExchangeFixture(std::size_t uploadBytes = 0)
    {
        net::ClientRequest request;
        request.head.method(uploadBytes > 0 ? net::http::verb::post : net::http::verb::get);
        request.head.target("/");
        request.body = net::SharedBody(std::string(uploadBytes, 'x'));
        net::spawnTask(context, "exchange", [this, request]() -> net::Awaitable<void> {
            constexpr std::size_t bufferBytes = 1024;
            co_await exchange.run(request, bufferBytes);
            ended = true;
        });
        context.poll();
        server = acceptor.accept();
    }

    /// Sends `bytes` in parts that fit into the buffers of the connection, and lets the exchange read each part.
    void answer(std::string_view bytes)
    {
        constexpr std::size_t partBytes = 4096;
        net::beast::error_code error;
        for (; !bytes.empty() && !error; bytes.remove_prefix(std::min(partBytes, bytes.size()))) {
            net::asio::write(server, net::asio::buffer(bytes.data(), std::min(partBytes, bytes.size())), error);
            context.poll();
        }
    }

    /// Closes the connection of the server with a reset.
    void reset()
    {
        server.set_option(net::asio::socket_base::linger(true, 0));
        server.close();
    }

    void waitForEnd()
    {
        const auto until = clock.now() + std::chrono::seconds(20);
        while (!ended && clock.now() < until) {
            context.run_one_for(std::chrono::milliseconds(10));
        }
        BOOST_REQUIRE(ended);
    }

    bool isComplete() const
    {
        return exchange.progress() == net::ExchangeProgress::Complete;
    }

    const base::SystemClock clock;
    net::asio::io_context context{1};
    net::asio::io_context serverContext;
    net::tcp::acceptor acceptor{serverContext, {net::asio::ip::make_address("127.0.0.1"), 0}};
    net::HttpPool pool{context, clock, {}};
    net::HttpExchange exchange{context, pool, {"127.0.0.1", acceptor.local_endpoint().port()}};
    net::tcp::socket server{serverContext};
    bool ended = false;
};

/// An exchange whose request is longer than the buffers of its connection, with a server that does not read.
struct UploadFixture : ExchangeFixture
{
    UploadFixture()
        : ExchangeFixture(64 * 1024 * 1024)
    {
    }

    /// Sends `bytes` without letting the exchange read them.
    void send(std::string_view bytes)
    {
        net::asio::write(server, net::asio::buffer(bytes.data(), bytes.size()));
    }
};

/// Timeouts of a call that is expected to be answered, and of one that is expected to be lost.
constexpr base::Duration answeredTimeout = std::chrono::seconds(20);
constexpr base::Duration lostTimeout = std::chrono::milliseconds(100);

/// Calls to a server that answers with a given status, and whose open connections can go silent while new ones work.
struct SilentConnectionsFixture
{
    SilentConnectionsFixture()
    {
        net::spawnTask(context, "accept", [this] { return acceptAll(); });
    }

    net::Awaitable<void> acceptAll()
    {
        for (;;) {
            const auto socket = std::make_shared<net::tcp::socket>(context);
            net::beast::error_code error;
            co_await acceptor.async_accept(*socket, net::into(error));
            const int generation = connectionGeneration;
            net::spawnTask(context, "serve", [this, socket, generation] { return serve(socket, generation); });
        }
    }

    net::Awaitable<void> serve(std::shared_ptr<net::tcp::socket> socket, int generation)
    {
        net::beast::flat_buffer buffer;
        for (;;) {
            net::http::request<net::http::empty_body> request;
            net::beast::error_code error;
            co_await net::http::async_read(*socket, buffer, request, net::into(error));
            if (error) {
                co_return;
            }
            net::http::response<net::http::empty_body> response;
            response.result(answeredStatus);
            response.content_length(0);
            if (generation == connectionGeneration) {
                co_await net::http::async_write(*socket, response, net::into(error));
            }
        }
    }

    /// Makes `count` calls at the same time and returns how many were answered.
    int call(int count)
    {
        int pending = count;
        int answered = 0;
        for (int index = 0; index < count; ++index) {
            net::spawnTask(context, "call", [this, &pending, &answered]() -> net::Awaitable<void> {
                const bool isAnswered = co_await callOnce();
                answered += isAnswered ? 1 : 0;
                --pending;
            });
        }
        while (pending > 0) {
            context.run_one();
        }
        return answered;
    }

    net::Awaitable<bool> callOnce()
    {
        net::GetLimits limits;
        limits.timeout = timeout;
        try {
            const net::Endpoint server{"127.0.0.1", acceptor.local_endpoint().port()};
            std::string target = "/";
            co_await net::httpGet(context, pool, server, std::move(target), limits);
        } catch (const base::Error &) {
            co_return false;
        }
        co_return true;
    }

    base::Duration timeout = answeredTimeout; ///< Of each call.
    unsigned answeredStatus = 200;
    const base::SystemClock clock;
    net::asio::io_context context{1};
    net::tcp::acceptor acceptor{context, {net::asio::ip::make_address("127.0.0.1"), 0}};
    net::HttpPool pool{context, clock, {}};
    int connectionGeneration = 0; ///< Connections of an earlier generation are silent.
};

}

// Guards against a node that loses one call after the other, each by its timeout, while new connections would work.
BOOST_FIXTURE_TEST_CASE(call_afterOneThatWasLostOnASilentConnection_usesANewConnection, SilentConnectionsFixture)
{
    constexpr int idleConnections = 3;
    BOOST_REQUIRE(call(idleConnections) == idleConnections);
    ++connectionGeneration;
    timeout = lostTimeout;
    BOOST_TEST(call(1) == 0);
    timeout = answeredTimeout;
    BOOST_TEST(call(1) == 1);
}

// Guards against an answer without a status that is passed on as an answer, or taken for an interim one so that the
// caller waits for another.
BOOST_AUTO_TEST_CASE(exchange_answerWhoseStatusIsNone_failsAtOnce)
{
    for (const std::string status : {"000", "001", "099", "101", "600", "999"}) {
        ExchangeFixture fixture;
        fixture.answer("HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nok");
        BOOST_TEST_CONTEXT("status " << status)
        {
            BOOST_TEST(fixture.ended);
            BOOST_TEST((fixture.exchange.failure() == net::ExchangeFailure::InvalidStatus));
            BOOST_TEST(fixture.exchange.head().result_int() == std::stoul(status));
        }
    }
}

// Guards against an answer without a status that passes because an interim answer came before it.
BOOST_FIXTURE_TEST_CASE(exchange_answerWhoseStatusIsNoneAfterAnInterimOne_failsAtOnce, ExchangeFixture)
{
    answer("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok");
    BOOST_TEST(ended);
    BOOST_TEST((exchange.failure() == net::ExchangeFailure::InvalidStatus));
}

// Guards against an answer without a status that the platform's client takes for an answer of the platform.
BOOST_FIXTURE_TEST_CASE(call_answerWhoseStatusIsNone_fails, SilentConnectionsFixture)
{
    for (const unsigned status : {0U, 1U, 99U, 600U, 999U}) {
        answeredStatus = status;
        BOOST_TEST(call(1) == 0, "status " << status);
    }
    answeredStatus = 200;
    BOOST_TEST(call(1) == 1);
}

BOOST_FIXTURE_TEST_CASE(exchange_answerWhoseStatusIsNotRegistered_isComplete, ExchangeFixture)
{
    answer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 520 Odd\r\nContent-Length: 2\r\n\r\nok");
    BOOST_TEST((exchange.progress() == net::ExchangeProgress::Complete));
    BOOST_TEST(exchange.body() == "ok");
}

// Guards against a part of an answer that is passed on as the whole answer: the reset is reported to the send, and the
// read sees no more than an end of the connection.
BOOST_AUTO_TEST_CASE(exchange_answerWithoutALengthThatIsResetDuringAnUpload_isIncomplete)
{
    for (const char *bytes : {"HTTP/1.1 200 OK\r\n\r\n",
                              "HTTP/1.1 200 OK\r\n\r\npart",
                              "HTTP/1.1 500 Failed\r\n\r\npart",
                              "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
                              "HTTP/1.0 200 OK\r\n\r\npart"}) {
        UploadFixture fixture;
        fixture.send(bytes);
        fixture.reset();
        fixture.waitForEnd();
        BOOST_TEST_CONTEXT(bytes)
        {
            BOOST_TEST(!fixture.isComplete());
            BOOST_TEST((fixture.exchange.failure() == net::ExchangeFailure::Broken));
        }
    }
}

// Guards against the same fault when the head and a part of the body have been read before the reset.
BOOST_FIXTURE_TEST_CASE(exchange_answerWithoutALengthThatIsResetAfterAPart_isIncomplete, UploadFixture)
{
    answer("HTTP/1.1 200 OK\r\n\r\npart");
    reset();
    waitForEnd();
    BOOST_TEST(!isComplete());
    BOOST_TEST((exchange.failure() == net::ExchangeFailure::Broken));
}

BOOST_FIXTURE_TEST_CASE(exchange_answerWithoutALengthThatIsResetWithoutAnUpload_isIncomplete, ExchangeFixture)
{
    answer("HTTP/1.1 200 OK\r\n\r\npart");
    reset();
    waitForEnd();
    BOOST_TEST(!isComplete());
}

// Guards against an early answer, such as a 413, that is lost because the server does not read the rest of the upload.
BOOST_FIXTURE_TEST_CASE(exchange_answerWithoutALengthThatEndsInOrderDuringAnUpload_isComplete, UploadFixture)
{
    answer("HTTP/1.1 413 Too Large\r\n\r\nwhole");
    server.shutdown(net::tcp::socket::shutdown_send);
    waitForEnd();
    BOOST_TEST(isComplete());
    BOOST_TEST(exchange.body() == "whole");
}

// Guards against the loss of an early answer whose server resets the connection behind its end, as it does when more of
// the upload arrives.
BOOST_FIXTURE_TEST_CASE(exchange_answerWithoutALengthThatIsResetAfterItsEnd_isComplete, UploadFixture)
{
    send("HTTP/1.1 413 Too Large\r\n\r\nwhole");
    server.shutdown(net::tcp::socket::shutdown_send);
    reset();
    waitForEnd();
    BOOST_TEST(isComplete());
    BOOST_TEST(exchange.body() == "whole");
}

// Guards against a line that is passed on as a field although its name is none, and against a body that ends elsewhere
// than the server's, because a field that frames it is not recognized.
BOOST_AUTO_TEST_CASE(exchange_answerWithAnInvalidFieldName_isMalformed)
{
    using namespace std::string_literals;
    for (const std::string &line : {"Odd Name: x"s,
                                    "Odd\tName: x"s,
                                    "Odd\0Name: x"s,
                                    "Odd\x01Name: x"s,
                                    "Odd\x1bName: x"s,
                                    "Odd\x7fName: x"s,
                                    "Odd\x80Name: x"s,
                                    "Odd(Name): x"s,
                                    " Odd: x"s,
                                    ": x"s,
                                    "Odd"s,
                                    "Content-Length : 1"s,
                                    "Content-Length\t: 1"s,
                                    "Content-Length\x0b: 1"s,
                                    "Transfer-Encoding : chunked"s,
                                    "Transfer-Encoding\0: chunked"s}) {
        const std::array<std::string, 3> answers{
            "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok",
            "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + line + "\r\n\r\n",
        };
        for (const std::string &bytes : answers) {
            ExchangeFixture fixture;
            fixture.answer(bytes);
            BOOST_TEST_CONTEXT(bytes)
            {
                BOOST_TEST(fixture.ended);
                BOOST_TEST(!fixture.isComplete());
                BOOST_TEST((fixture.exchange.failure() == net::ExchangeFailure::Malformed));
            }
        }
    }
}

// Guards against a body that is passed on encoded, while the field that names its coding is not passed on.
BOOST_AUTO_TEST_CASE(exchange_answerWithACodingOtherThanChunks_isMalformed)
{
    for (const char *fields : {"Transfer-Encoding: gzip\r\n",
                               "Transfer-Encoding: gzip, chunked\r\n",
                               "Transfer-Encoding: chunked, gzip\r\n",
                               "Transfer-Encoding: chunked, chunked\r\n",
                               "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
                               "Transfer-Encoding: gzip\r\nContent-Length: 12\r\n",
                               "Transfer-Encoding:\r\n"}) {
        ExchangeFixture fixture;
        fixture.answer(std::string("HTTP/1.1 200 OK\r\n") + fields + "\r\n2\r\nok\r\n0\r\n\r\n");
        fixture.server.shutdown(net::tcp::socket::shutdown_send);
        fixture.waitForEnd();
        BOOST_TEST_CONTEXT(fields)
        {
            BOOST_TEST(!fixture.isComplete());
            BOOST_TEST((fixture.exchange.failure() == net::ExchangeFailure::Malformed));
        }
    }
}

BOOST_FIXTURE_TEST_CASE(exchange_answerInChunks_isComplete, ExchangeFixture)
{
    answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    BOOST_TEST(isComplete());
    BOOST_TEST(exchange.body() == "ok");
}

// A faulty backend server sends a trailer field after its answer that is longer than Beast can count, and Beast throws.
// Guards against an exception that ends the node, and with it the requests of all its callers.
BOOST_FIXTURE_TEST_CASE(exchange_trailerLongerThanTheLibrarySupports_fails, ExchangeFixture)
{
    answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nLong: " + std::string(70'000, 'x') + "\r\n\r\n");
    BOOST_TEST(ended);
    BOOST_TEST((exchange.failure() != net::ExchangeFailure::None));
}
