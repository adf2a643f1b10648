#include "papayastep/routing/serveradmission.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::routing;
using namespace std::chrono_literals;

namespace {

/// A backend server with two slots and a published cold start, which is warm at first.
struct OneServer
{
    OneServer()
    {
        server.id = base::BackendServerId("s");
        server.service = base::ServiceId("refunds");
        server.slots = 2;
        server.incarnation = 1;
        configure();
        admission.recordProbe(true, base::Duration::zero());
    }

    void configure()
    {
        admission.configure(&server, coldStart, true);
    }

    static limits::AttemptId attempt(std::uint64_t number)
    {
        return {base::RequestId{1, number}, 1};
    }
    limits::OfferResult offer(std::uint64_t number)
    {
        limits::QueueOffer offer;
        offer.attempt = attempt(number);
        offer.workspace = base::WorkspaceId("w");
        offer.deadline = clock.now() + 2s;
        return admission.queue().offer(offer);
    }
    std::size_t startNow()
    {
        std::size_t started = 0;
        for (const limits::QueueDecision &decision : admission.queue().poll()) {
            started += decision.start ? 1 : 0;
        }
        return started;
    }

    base::ManualClock clock;
    config::BackendServer server;
    config::ColdStart coldStart{3s, 11};
    ServerAdmission admission{clock, server};
};

}

BOOST_FIXTURE_TEST_SUITE(serverAdmission, OneServer)

// Guards against queued attempts that wait for a slot of a server in an evacuated zone although others are free.
BOOST_AUTO_TEST_CASE(queuedAttempts_whenTheZoneIsEvacuated_areRefusedAtOnce)
{
    for (std::uint64_t number = 1; number <= 4; ++number) {
        BOOST_TEST(offer(number).accepted);
    }
    BOOST_TEST(startNow() == 2U);
    server.evacuated = true;
    configure();
    const auto decisions = admission.queue().poll();
    BOOST_REQUIRE(decisions.size() == 2U);
    for (const limits::QueueDecision &decision : decisions) {
        BOOST_TEST(!decision.start);
        BOOST_CHECK(decision.code == base::ResultCode::HopZoneEvacuated);
    }
    BOOST_TEST(admission.queue().running() == 2U);
    BOOST_CHECK(admission.refusalCode() == base::ResultCode::HopZoneEvacuated);
}

// Guards against the end of the process when the entry of a queued attempt disconnects after the server was removed.
BOOST_AUTO_TEST_CASE(removedServer_withDroppedAttempts_isInUseUntilTheyAreDecided)
{
    BOOST_TEST(offer(1).accepted);
    admission.configure(nullptr, {}, true);
    BOOST_TEST(admission.queue().queued() == 0U);
    BOOST_TEST(!admission.isUnused());
    BOOST_TEST(admission.queue().poll().size() == 1U);
    BOOST_TEST(admission.isUnused());
}

BOOST_AUTO_TEST_CASE(server_thatDrainsOrIsRemoved_isClosedAsGone)
{
    server.drain = true;
    server.evacuated = true;
    configure();
    BOOST_CHECK(admission.refusalCode() == base::ResultCode::HopBackendServerGone);
    server.drain = false;
    server.evacuated = false;
    configure();
    BOOST_CHECK(!admission.refusalCode());
    admission.configure(nullptr, {}, true);
    BOOST_CHECK(admission.refusalCode() == base::ResultCode::HopBackendServerGone);
}

// Guards against a burst at servers that are cold when the evacuation of their zone ends.
BOOST_AUTO_TEST_CASE(server_whoseZoneIsRestored_isColdUntilItReportsOtherwise)
{
    server.evacuated = true;
    configure();
    BOOST_TEST(!admission.takeProbeDue());
    server.evacuated = false;
    configure();
    BOOST_TEST(admission.queue().coldStart().isCold());
    BOOST_TEST(admission.takeProbeDue());
    admission.recordProbe(true, 800ms);
    clock.advance(790ms);
    BOOST_TEST(admission.queue().coldStart().isCold());
    clock.advance(20ms);
    BOOST_TEST(!admission.queue().coldStart().isCold());
}

// Guards against a burst at a server that was restarted under its id, whose directory entry is not updated yet.
BOOST_AUTO_TEST_CASE(server_thatRefusedAConnection_isColdUntilItReportsOtherwise)
{
    admission.recordConnectionFailure();
    BOOST_TEST(admission.queue().coldStart().isCold());
    BOOST_TEST(admission.takeProbeDue());
    admission.recordProbe(false, {});
    BOOST_TEST(admission.queue().coldStart().isCold());
}

// Guards against attempts that are offered to a dead server one after the other, while others have free slots.
BOOST_AUTO_TEST_CASE(server_thatRefusedAConnection_isClosedUntilAProbeIsAnswered)
{
    BOOST_TEST(offer(1).accepted);
    BOOST_TEST(offer(2).accepted);
    BOOST_TEST(startNow() == 2U);
    BOOST_TEST(offer(3).accepted);
    admission.recordConnectionFailure();
    BOOST_CHECK(admission.refusalCode() == base::ResultCode::HopBackendServerRefused);
    BOOST_TEST(admission.queue().queued() == 0U);
    admission.recordProbe(false, {});
    BOOST_TEST(admission.refusalCode().has_value());
    admission.recordProbe(true, 3s);
    BOOST_TEST(!admission.refusalCode().has_value());
}

BOOST_AUTO_TEST_CASE(server_withoutHealthEndpoint_isNotClosedAfterARefusedConnection)
{
    admission.configure(&server, coldStart, false);
    admission.recordConnectionFailure();
    BOOST_TEST(!admission.refusalCode().has_value());
    BOOST_TEST(!admission.takeProbeDue());
}

BOOST_AUTO_TEST_CASE(server_withANewIncarnation_isCold)
{
    server.incarnation = 2;
    server.coldUntil = clock.now() + 2s;
    configure();
    BOOST_TEST(admission.queue().coldStart().isCold());
    BOOST_TEST(!admission.takeProbeDue());
    clock.advance(2s);
    BOOST_TEST(!admission.queue().coldStart().isCold());
}

// Guards against liveness checks without end at a server that does not answer them.
BOOST_AUTO_TEST_CASE(probes_ofAServerThatDoesNotAnswer_areSentTwiceASecond)
{
    admission.recordPause();
    int probes = 0;
    for (int step = 0; step < 1000; ++step) {
        probes += admission.takeProbeDue() ? 1 : 0;
        clock.advance(10ms);
    }
    BOOST_TEST(probes == 20);
}

// Guards against attempts that wait at a cold server although their caller could be told at once to return later.
BOOST_AUTO_TEST_CASE(attempts_beyondTheColdRate_areRefusedAtOnceWithTheTimeToReturn)
{
    admission.recordProbe(true, 3s);
    std::size_t started = 0;
    std::size_t refused = 0;
    for (std::uint64_t number = 1; number <= 40; ++number) {
        const limits::OfferResult result = offer(number);
        refused += result.accepted ? 0 : 1;
        if (!result.accepted) {
            BOOST_TEST((result.retryAfter > 500ms));
        }
        started += startNow();
        admission.queue().finished(attempt(number));
        clock.advance(1ms);
    }
    BOOST_TEST(started == 11U);
    BOOST_TEST(refused >= 25U);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

using Kind = AnnouncementSource::Kind;

/// A warm backend server that announces something in its answers.
struct AnnouncingServer : OneServer
{
    void answer(std::optional<double> limit, Kind kind = Kind::Request)
    {
        answer(limit, kind, clock.now(), server.incarnation);
    }
    void answer(std::optional<double> limit, Kind kind, base::TimePoint sentAt, base::Incarnation incarnation)
    {
        ServerAnnouncement announcement;
        announcement.limit.requestsPerSecond = limit;
        admission.recordAnnouncement(announcement, {kind, incarnation, sentAt});
    }
    /// Starts the attempts whose turn it is, and ends them at once.
    std::size_t runNow()
    {
        std::size_t started = 0;
        for (const limits::QueueDecision &decision : admission.queue().poll()) {
            started += decision.start ? 1 : 0;
            admission.queue().finished(decision.attempt);
        }
        return started;
    }
    std::optional<double> limit() const
    {
        return admission.announced().requestsPerSecond;
    }
};

}

BOOST_FIXTURE_TEST_SUITE(serverAnnouncements, AnnouncingServer)

// Guards against a server that gets as many requests as it has free slots although it named a limit.
BOOST_AUTO_TEST_CASE(attempts_atAServerThatNamedALimit_startWithinIt)
{
    answer(1);
    std::size_t started = 0;
    for (std::uint64_t number = 1; number <= 400; ++number) {
        const limits::OfferResult result = offer(number);
        if (!result.accepted) {
            BOOST_CHECK(result.code == base::ResultCode::HopBackendServerLimited);
            BOOST_TEST((result.retryAfter > 0ms));
            BOOST_TEST((result.retryAfter <= 2s));
        }
        started += runNow();
        clock.advance(10ms);
    }
    BOOST_TEST(started <= 4U);
    BOOST_TEST(started >= 3U);
}

// Guards against attempts that wait for a server that will not take them before their deadline.
BOOST_AUTO_TEST_CASE(queuedAttempts_whenTheServerNamesALimit_areRefusedAtOnceIfTheyCannotStart)
{
    server.slots = 1;
    configure();
    for (std::uint64_t number = 1; number <= 6; ++number) {
        BOOST_TEST(offer(number).accepted);
    }
    BOOST_TEST(startNow() == 1U);
    answer(1);
    std::size_t refused = 0;
    for (const limits::QueueDecision &decision : admission.queue().poll()) {
        BOOST_TEST(!decision.start);
        BOOST_CHECK(decision.code == base::ResultCode::HopBackendServerLimited);
        ++refused;
    }
    BOOST_TEST(refused == 4U);
    BOOST_TEST(admission.queue().queued() == 1U);
}

BOOST_AUTO_TEST_CASE(limit_thatAnAnswerNoLongerNames_ends)
{
    answer(1);
    clock.advance(1s);
    answer(std::nullopt);
    BOOST_TEST(!limit().has_value());
    BOOST_TEST((admission.queue().startRate().wait(100) == base::Duration::zero()));
}

// Guards against the end of a limit by an answer that was sent before the server named it.
BOOST_AUTO_TEST_CASE(limit_afterAnAnswerToAnEarlierRequest_stays)
{
    const base::TimePoint before = clock.now();
    clock.advance(100ms);
    answer(1);
    answer(std::nullopt, Kind::Request, before, server.incarnation);
    BOOST_TEST(limit().value() == 1);
}

// Guards against the end of a limit by an answer that does not name it because another part of the server gave it.
BOOST_AUTO_TEST_CASE(limit_afterAProbeOrAStrayAnswerWithoutIt_stays)
{
    answer(3.4);
    answer(std::nullopt, Kind::Probe);
    answer(std::nullopt, Kind::Stray);
    BOOST_TEST(limit().value() == 3.4);
    answer(2, Kind::Probe);
    BOOST_TEST(limit().value() == 2);
    answer(1, Kind::Stray);
    BOOST_TEST(limit().value() == 1);
}

BOOST_AUTO_TEST_CASE(limit_afterAnUnreadableOne_stays)
{
    answer(2);
    ServerAnnouncement unreadable;
    unreadable.limit.isReadable = false;
    admission.recordAnnouncement(unreadable, {Kind::Request, server.incarnation, clock.now()});
    BOOST_TEST(limit().value() == 2);
    BOOST_TEST(!admission.announced().isLimitReadable);
}

// Guards against the limit of a former server at the address of a new one.
BOOST_AUTO_TEST_CASE(limit_ofAnEarlierStart_doesNotApply)
{
    answer(1);
    server.incarnation = 2;
    configure();
    BOOST_TEST(!limit().has_value());
    answer(1, Kind::Request, clock.now(), 1);
    admission.adopt({1, 1, true});
    BOOST_TEST(!admission.announced().isLeaving);
    BOOST_TEST(!limit().has_value());
}

// Guards against a limit that the node beside the server forgets when it is restarted, while the entries know it.
BOOST_AUTO_TEST_CASE(limit_thatAnEntryRemembers_holdsUntilTheServerAnswers)
{
    admission.adopt({server.incarnation, 1, false});
    BOOST_TEST(limit().value() == 1);
    clock.advance(10ms);
    answer(std::nullopt);
    BOOST_TEST(!limit().has_value());
    admission.adopt({server.incarnation, 1, false});
    BOOST_TEST(!limit().has_value());
}

// Guards against liveness checks that take up the requests of a server that names a low limit.
BOOST_AUTO_TEST_CASE(probes_ofAnEjectedServer_countTowardsItsLimit)
{
    answer(0.5);
    BOOST_TEST(!admission.takeEjectionProbe());
    clock.advance(2s);
    BOOST_TEST(admission.takeEjectionProbe());
    BOOST_TEST(!admission.takeEjectionProbe());
}

// Guards against a server that gets requests until the directory reports its end, which it announced before.
BOOST_AUTO_TEST_CASE(server_thatAnnouncedItsEnd_getsNoAttemptsUntilItIsStartedAgain)
{
    for (std::uint64_t number = 1; number <= 4; ++number) {
        BOOST_TEST(offer(number).accepted);
    }
    BOOST_TEST(startNow() == 2U);
    ServerAnnouncement end;
    end.isLeaving = true;
    admission.recordAnnouncement(end, {Kind::Stray, server.incarnation, clock.now()});
    BOOST_CHECK(admission.refusalCode() == base::ResultCode::HopBackendServerGone);
    BOOST_TEST(admission.queue().poll().size() == 2U);
    answer(std::nullopt);
    configure();
    BOOST_TEST(admission.announced().isLeaving);
    server.incarnation = 2;
    configure();
    BOOST_TEST(!admission.refusalCode().has_value());
    admission.recordAnnouncement(end, {Kind::Request, 1, clock.now()});
    BOOST_TEST(!admission.announced().isLeaving);
}

// Guards against requests to a leaving server after the directory did not list it for a while.
BOOST_AUTO_TEST_CASE(announcedEnd_thatTheNodeRemembers_applies)
{
    answer(std::nullopt);
    admission.adopt({server.incarnation, std::nullopt, true});
    BOOST_CHECK(admission.refusalCode() == base::ResultCode::HopBackendServerGone);
}

// Guards against a server without a known start that never gets requests again after it announced its end.
BOOST_AUTO_TEST_CASE(announcedEnd_ofAServerWithoutKnownStart_isForgottenAfterAMinute)
{
    server.incarnation = 0;
    configure();
    admission.adopt({0, std::nullopt, true});
    clock.advance(59s);
    admission.expireAnnouncements();
    BOOST_TEST(admission.announced().isLeaving);
    clock.advance(1s);
    admission.expireAnnouncements();
    BOOST_TEST(!admission.refusalCode().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
