#include "papayastep/net/signal.h"
#include "papayastep/net/task.h"
#include "papayastep/node/streamedanswer.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace std::chrono_literals;

namespace {

constexpr base::Duration never = 1h;

/// The body of an answer that ends after some parts, never ends, or stops in the middle without an end.
class TestBody final : public node::AnswerBody
{
public:
    TestBody(net::asio::io_context &io, base::TimePoint deadline)
        : m_deadline(deadline)
        , m_aborted(io)
    {
    }

    net::Awaitable<std::string> readPart() override
    {
        // The pause lets timers run between the parts of a body without end.
        const bool wasAborted
            = co_await m_aborted.waitUntil(base::SystemClock().now() + (remainingParts > 0 ? 1ms : never));
        if (wasAborted || isAborted) {
            co_return std::string();
        }
        --remainingParts;
        co_return std::string("part");
    }

    bool complete() const override
    {
        return endsCleanly && remainingParts == 0;
    }

    base::TimePoint deadline() const override
    {
        return m_deadline;
    }

    void abort() override
    {
        isAborted = true;
        m_aborted.notify();
    }

    int remainingParts = 0;
    bool endsCleanly = false;
    bool isAborted = false;

private:
    base::TimePoint m_deadline;
    net::Signal m_aborted;
};

/// A client that reads the answer, or stops reading after its head.
class TestExchange final : public net::ServerExchange
{
public:
    explicit TestExchange(net::asio::io_context &io)
        : m_changed(io)
    {
    }

    const net::RequestHead &head() const override
    {
        return m_head;
    }
    const std::string &remoteAddress() const override
    {
        return m_address;
    }
    net::Awaitable<std::string> readBody() override
    {
        co_return std::string();
    }
    net::Awaitable<void> acknowledge() override
    {
        co_return;
    }
    net::Awaitable<bool> answer(net::WholeAnswer) override
    {
        co_return true;
    }
    net::Awaitable<bool> beginStream(net::ResponseHead) override
    {
        co_await m_changed.waitUntil(base::SystemClock().now() + turnAfter);
        co_return true;
    }
    net::Awaitable<bool> writePart(std::string) override
    {
        if (!reads && !isAborted) {
            co_await m_changed.waitUntil(base::SystemClock().now() + never);
        }
        co_return !isAborted;
    }
    net::Awaitable<bool> finishStream() override
    {
        isFinished = true;
        co_return true;
    }
    void abort() override
    {
        isAborted = true;
        m_changed.notify();
    }
    void watchClient(std::function<void()>) override
    {
    }

    base::Duration turnAfter{0}; ///< Time for which earlier answers of the connection are sent.
    bool reads = true;
    bool isAborted = false;
    bool isFinished = false;

private:
    net::RequestHead m_head;
    std::string m_address;
    net::Signal m_changed;
};

/// Forwards the answer of a backend server to a client.
struct StreamFixture
{
    explicit StreamFixture(base::Duration time = 20ms)
    {
        auto owned = std::make_unique<TestBody>(io, clock.now() + time);
        body = owned.get();
        answer.remainingBody = std::move(owned);
        answer.body = "first";
    }

    void forward()
    {
        net::spawnTask(io, "test", [this]() -> net::Awaitable<void> {
            net::ResponseHead head;
            wasForwarded = co_await node::forwardStream(io, clock, exchange, answer, std::move(head));
        });
        io.run();
    }

    net::asio::io_context io;
    base::SystemClock clock;
    TestExchange exchange{io};
    node::ServedAnswer answer;
    TestBody *body = nullptr;
    bool wasForwarded = false;
};

}

BOOST_AUTO_TEST_CASE(stream_thatEndsInTime_isFinished)
{
    StreamFixture stream(1h);
    stream.body->remainingParts = 3;
    stream.body->endsCleanly = true;
    stream.forward();
    BOOST_TEST(stream.wasForwarded);
    BOOST_TEST(stream.exchange.isFinished);
    BOOST_TEST(!stream.exchange.isAborted);
}

// Guards against a caller, a slot and a connection that are kept for as long as a server keeps a cut answer open.
BOOST_FIXTURE_TEST_CASE(stream_thatStopsInTheMiddle_isBrokenOffAtItsDeadline, StreamFixture)
{
    body->remainingParts = 2;
    forward();
    BOOST_TEST(!wasForwarded);
    BOOST_TEST(body->isAborted);
    BOOST_TEST(exchange.isAborted);
    BOOST_TEST(!exchange.isFinished);
}

// Guards against a body without end that is forwarded for as long as its caller reads.
BOOST_FIXTURE_TEST_CASE(stream_withoutEnd_isBrokenOffAtItsDeadline, StreamFixture)
{
    body->remainingParts = 1'000'000'000;
    forward();
    BOOST_TEST(!wasForwarded);
    BOOST_TEST(body->isAborted);
    BOOST_TEST(!exchange.isFinished);
}

// Guards against a server that works for a caller that has stopped reading.
BOOST_FIXTURE_TEST_CASE(stream_toACallerThatDoesNotRead_isBrokenOffAtItsDeadline, StreamFixture)
{
    body->remainingParts = 2;
    exchange.reads = false;
    forward();
    BOOST_TEST(!wasForwarded);
    BOOST_TEST(body->isAborted);
}

// Guards against earlier answers of the same connection that are lost with a stream that waits for them.
BOOST_FIXTURE_TEST_CASE(stream_thatWaitsForItsTurnAtTheDeadline_leavesTheConnectionOpen, StreamFixture)
{
    body->remainingParts = 2;
    exchange.turnAfter = 60ms;
    forward();
    BOOST_TEST(!wasForwarded);
    BOOST_TEST(body->isAborted);
    BOOST_TEST(!exchange.isAborted);
}
