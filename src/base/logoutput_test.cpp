#include "papayastep/base/log.h"
#include "papayastep/base/logoutput.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <unistd.h>

namespace {

using namespace papayastep::base;
using namespace std::chrono_literals;

/// A pipe whose reading end is read only at the request of a test.
struct PipeFixture
{
    PipeFixture()
    {
        BOOST_REQUIRE_EQUAL(pipe(ends), 0);
    }
    ~PipeFixture()
    {
        close(ends[0]);
        close(ends[1]);
    }

    /// Reads all bytes in the pipe.
    std::string readAll() const
    {
        std::string text(1 << 20, '\0');
        const ssize_t bytes = read(ends[0], text.data(), text.size());
        text.resize(static_cast<std::size_t>(std::max<ssize_t>(0, bytes)));
        return text;
    }

    static void send(LogOutput &output, google::LogSeverity severity, std::string_view message)
    {
        output.send(severity, "", "", 0, google::LogMessageTime(), message.data(), message.size());
    }

    ManualClock clock;
    int ends[2] = {-1, -1};
};

}

BOOST_FIXTURE_TEST_SUITE(logOutput, PipeFixture)

BOOST_AUTO_TEST_CASE(line_ofAWarning_hasTimeAndSeverity)
{
    LogOutput output(ends[1], clock);
    send(output, google::GLOG_WARNING, "routing: Refused a request. request=7");
    output.flush();

    const std::string text = readAll();
    BOOST_TEST(text.ends_with("Z W routing: Refused a request. request=7\n"));
    BOOST_TEST(text.find('T') == 10U);
    BOOST_TEST(output.counters().bytes == text.size());
}

// The program that collects the logs stops reading, so the pipe fills up. Guards against a node that blocks on its next
// line and answers no caller although all servers are healthy.
BOOST_AUTO_TEST_CASE(flush_readerStopped_neverBlocks)
{
    LogLimits limits;
    limits.burstBytes = 1e9;
    LogOutput output(ends[1], clock, limits);
    const std::string line(200, 'x');
    for (int i = 0; i < 10'000; ++i) {
        send(output, google::GLOG_INFO, line);
        output.flush();
    }

    const auto counters = output.counters();
    BOOST_TEST(counters.dropped > 0U);
    BOOST_TEST(counters.written + counters.dropped == 10'000U);
    // The reader reads again: it receives the buffered lines and then a line with the number of dropped lines.
    std::string text;
    for (int i = 0; i < 100; ++i) {
        text += readAll();
        output.flush();
        if (text.find("log: Dropped lines. count=") != std::string::npos) {
            break;
        }
    }
    BOOST_TEST(text.find("log: Dropped lines. count=" + std::to_string(counters.dropped)) != std::string::npos);
}

// In an overload every request is logged. Guards against dropping all lines alike, since the line about a failed
// request would then most likely be missing.
BOOST_AUTO_TEST_CASE(budget_floodOfRoutineLines_keepsWarningsAndErrors)
{
    LogLimits limits;
    limits.burstBytes = 20'000;
    limits.bytesPerSecond = 1000;
    LogOutput output(ends[1], clock, limits);
    for (int i = 0; i < 1000; ++i) {
        send(output, google::GLOG_INFO, "routing: Placed an attempt.");
    }
    send(output, google::GLOG_WARNING, "routing: Refused a request. request=kept");
    send(output, google::GLOG_ERROR, "routing: Got the answer to another request. request=kept");
    output.flush();

    const std::string text = readAll();
    BOOST_TEST(text.find("Refused a request. request=kept") != std::string::npos);
    BOOST_TEST(text.find("another request. request=kept") != std::string::npos);
    BOOST_TEST(output.counters().dropped > 0U);
}

BOOST_AUTO_TEST_CASE(budget_afterTime_isRefilled)
{
    LogLimits limits;
    limits.burstBytes = 1000;
    limits.bytesPerSecond = 100;
    limits.reservedForWarnings = 0;
    LogBudget budget(limits, clock.now());
    BOOST_TEST(budget.take(google::GLOG_INFO, 1000, clock.now()));
    BOOST_TEST(!budget.take(google::GLOG_INFO, 100, clock.now()));
    clock.advance(1s);
    BOOST_TEST(budget.take(google::GLOG_INFO, 100, clock.now()));
}

BOOST_AUTO_TEST_CASE(line_breakInAField_staysOneLine)
{
    LogOutput output(ends[1], clock);
    send(output, google::GLOG_INFO, "routing: Placed an attempt. request=a\nrouting: Forged.");
    output.flush();
    const std::string text = readAll();
    BOOST_TEST(std::count(text.begin(), text.end(), '\n') == 1);
}

BOOST_AUTO_TEST_CASE(flush_readerGone_dropsLines)
{
    std::signal(SIGPIPE, SIG_IGN);
    LogOutput output(ends[1], clock);
    close(ends[0]);
    send(output, google::GLOG_INFO, "node: Started.");
    output.flush();
    send(output, google::GLOG_INFO, "node: Serves.");
    output.flush();
    BOOST_TEST(output.counters().dropped == 1U);
    ends[0] = -1;
}

BOOST_AUTO_TEST_SUITE_END()
