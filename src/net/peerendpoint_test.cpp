#include "papayastep/base/clock.h"
#include "papayastep/base/error.h"
#include "papayastep/net/peerendpoint.h"
#include "papayastep/net/task.h"
#include "papayastep/wire/envelope.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <memory>
#include <string>
#include <vector>

using namespace papayastep;
using namespace std::chrono_literals;

namespace {

/// Limits the wait for an expected message; no check depends on how long it takes.
constexpr std::chrono::seconds timeout{20};

// Below the ephemeral port range, so that an outgoing connection does not occupy the ports.
constexpr std::uint16_t leftPort = 18472;
constexpr std::uint16_t rightPort = 18473;

struct PeersFixture
{
    base::SystemClock clock;
    net::asio::io_context io{1};
    net::Endpoint left{"127.0.0.1", leftPort};
    net::Endpoint right{"127.0.0.1", rightPort};
    std::vector<std::string> received;
    net::PeerEndpoint sender{io, clock, left, [](const std::string &) {}};

    std::unique_ptr<net::PeerEndpoint> receiver()
    {
        return std::make_unique<net::PeerEndpoint>(
            io, clock, right, [this](std::string bytes) { received.push_back(std::move(bytes)); });
    }

    /// Runs pending handlers until `count` messages have been received, for at most `timeout`.
    void awaitMessages(std::size_t count)
    {
        const auto end = clock.now() + timeout;
        while (received.size() < count && clock.now() < end) {
            io.restart();
            io.run_one_for(10ms);
        }
    }
};

}

BOOST_FIXTURE_TEST_CASE(messages_sentBeforeTheConnectionIsOpen_arriveInOrder, PeersFixture)
{
    const auto peer = receiver();
    BOOST_TEST(sender.send(right, "one"));
    BOOST_TEST(sender.send(right, std::string(100'000, 'x')));
    BOOST_TEST(sender.send(right, "three"));
    awaitMessages(3);
    BOOST_REQUIRE(received.size() == 3U);
    BOOST_TEST(received[0] == "one");
    BOOST_TEST(received[1].size() == 100'000U);
    BOOST_TEST(received[2] == "three");
    BOOST_TEST(sender.counters().messagesSent == 3U);
}

// Guards against a write to freed memory, which ended a node that sent to a peer that had just been killed.
BOOST_FIXTURE_TEST_CASE(send_whileThePeerStopsAndRestarts_deliversAgain, PeersFixture)
{
    constexpr int rounds = 150;
    for (int round = 0; round < rounds; ++round) {
        auto peer = receiver();
        for (int message = 0; message < 200; ++message) {
            sender.send(right, std::string(2000, 'x'));
            io.restart();
            io.poll();
        }
        peer.reset();
        for (int message = 0; message < 50; ++message) {
            sender.send(right, std::string(2000, 'y'));
            io.restart();
            io.poll();
        }
    }
    const auto peer = receiver();
    received.clear();
    const auto end = clock.now() + timeout;
    while (received.empty() && clock.now() < end) {
        sender.send(right, "still there");
        io.restart();
        io.run_for(10ms);
    }
    BOOST_TEST(!received.empty());
}

// Guards against an intruder that announces a message of four billion bytes, which would otherwise be buffered.
BOOST_FIXTURE_TEST_CASE(connection_announcingTooLongMessage_isClosedAndOthersStayOpen, PeersFixture)
{
    const auto peer = receiver();
    net::tcp::socket intruder(io);
    intruder.connect({net::asio::ip::address_v4::loopback(), right.port});
    net::asio::write(intruder, net::asio::buffer(std::string(64, '\xff')));
    net::beast::error_code error;
    bool ended = false;
    char byte = 0;
    intruder.async_read_some(net::asio::buffer(&byte, 1), [&](const net::beast::error_code &result, std::size_t) {
        error = result;
        ended = true;
    });
    const auto end = clock.now() + timeout;
    while (!ended && clock.now() < end) {
        io.restart();
        io.run_one_for(10ms);
    }
    BOOST_TEST(ended);
    BOOST_TEST(error.failed());
    BOOST_TEST(sender.send(right, "one"));
    awaitMessages(1);
    BOOST_TEST(received.size() == 1U);
}

// Guards against a connection that went silent and goes on losing messages after the peer was found not to answer.
BOOST_FIXTURE_TEST_CASE(message_afterReconnect_isSentOverANewConnection, PeersFixture)
{
    net::tcp::acceptor acceptor(io, {net::asio::ip::address_v4::loopback(), right.port});
    std::vector<net::tcp::socket> connections;
    const auto awaitConnection = [&] {
        acceptor.async_accept(
            [&](const net::beast::error_code &, net::tcp::socket socket) { connections.push_back(std::move(socket)); });
        const std::size_t before = connections.size();
        const auto end = clock.now() + timeout;
        while (connections.size() == before && clock.now() < end) {
            io.restart();
            io.run_one_for(10ms);
        }
    };
    sender.send(right, "lost");
    awaitConnection();
    BOOST_REQUIRE(connections.size() == 1U);
    sender.reconnect(right);
    sender.send(right, "two");
    awaitConnection();
    BOOST_REQUIRE(connections.size() == 2U);
    std::array<char, 7> frame{};
    net::asio::read(connections.back(), net::asio::buffer(frame));
    BOOST_TEST(std::string(frame.data() + 4, 3) == "two");
}

// A peer that accepts no messages must cost its sender only the memory of a few messages, and no time.
BOOST_FIXTURE_TEST_CASE(send_toUnreachablePeer_dropsWhatDoesNotFit, PeersFixture)
{
    int accepted = 0;
    for (int message = 0; message < 100; ++message) {
        accepted += sender.send(right, "one") ? 1 : 0;
    }
    BOOST_TEST(accepted == 16);
    BOOST_TEST(sender.counters().dropped == 84U);
}

// The sending task throws. Guards against a sender that stays marked as sending, so that its peer gets no message any
// more.
BOOST_FIXTURE_TEST_CASE(send_afterItsTaskThrew_isResumed, PeersFixture)
{
    const net::Endpoint notAnAddress{"nowhere", rightPort};
    constexpr int messages = 40;
    for (int message = 0; message < messages; ++message) {
        BOOST_TEST(sender.send(notAnAddress, "one"));
        io.restart();
        io.poll();
    }
    BOOST_TEST(net::taskFaults(io).count() == std::uint64_t{messages});
}
