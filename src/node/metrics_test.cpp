#include "papayastep/node/metrics.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace std::chrono_literals;

namespace {

struct MetricsFixture
{
    /// Whether a scrape contains `line`, whose labels are in alphabetical order.
    bool scrapeContains(const std::string &line) const
    {
        return ('\n' + metrics.text()).find('\n' + line + '\n') != std::string::npos;
    }

    node::NodeMetrics metrics;
    const base::ServiceId counter{"counter"};
};

}

BOOST_FIXTURE_TEST_SUITE(nodeMetrics, MetricsFixture)

BOOST_AUTO_TEST_CASE(requests_withDifferentOutcomes_areCountedByOutcomeAndCode)
{
    metrics.countRequest({counter, true, node::EndedRequest::answeredOutcome, base::ResultCode::Ok, 30ms});
    metrics.countRequest({counter, true, node::EndedRequest::answeredOutcome, base::ResultCode::Ok, 3s});
    metrics.countRequest({counter, false, "unknown", base::ResultCode::DeadlineExceeded, 4s});
    metrics.countRequest({{}, false, "not-run", base::ResultCode::KeyUnknown, 0ms});

    BOOST_TEST(scrapeContains(
        R"(papayastep_requests_total{code="0",kind="idempotent",outcome="answered",service="counter"} 2)"));
    BOOST_TEST(
        scrapeContains(R"(papayastep_requests_total{code="3012",kind="other",outcome="unknown",service="counter"} 1)"));
    BOOST_TEST(
        scrapeContains(R"(papayastep_requests_total{code="3008",kind="other",outcome="not-run",service="none"} 1)"));
    BOOST_TEST(
        scrapeContains(R"(papayastep_request_seconds_bucket{outcome="answered",service="counter",le="0.05"} 1)"));
    BOOST_TEST(scrapeContains(R"(papayastep_request_seconds_count{outcome="answered",service="counter"} 2)"));
}

BOOST_AUTO_TEST_CASE(attempt_thatIsSilent_isCountedWithRetryDecision)
{
    metrics.countPlacement(counter, "survey");
    metrics.countAttempt(counter, "acknowledged-then-silent");
    metrics.countRetryDecision(counter, "retry-elsewhere");

    BOOST_TEST(scrapeContains(R"(papayastep_placements_total{reason="survey",service="counter"} 1)"));
    BOOST_TEST(scrapeContains(R"(papayastep_attempts_total{event="acknowledged-then-silent",service="counter"} 1)"));
    BOOST_TEST(scrapeContains(R"(papayastep_retry_decisions_total{action="retry-elsewhere",service="counter"} 1)"));
}

BOOST_AUTO_TEST_CASE(servedAttempts_ofOneService_showQueueWaitAndSlotTime)
{
    metrics.observeQueueWait(counter, 15ms);
    metrics.countServed({counter, "success", 300ms});
    metrics.countServed({counter, "timeout", 4s});

    BOOST_TEST(scrapeContains(R"(papayastep_queue_wait_seconds_bucket{service="counter",le="0.01"} 0)"));
    BOOST_TEST(scrapeContains(R"(papayastep_queue_wait_seconds_bucket{service="counter",le="0.02"} 1)"));
    BOOST_TEST(scrapeContains(R"(papayastep_served_attempts_total{outcome="timeout",service="counter"} 1)"));
    BOOST_TEST(scrapeContains(R"(papayastep_slot_held_seconds_count{service="counter"} 2)"));
    BOOST_TEST(scrapeContains(R"(papayastep_slot_held_seconds_sum{service="counter"} 4.3)"));
}

BOOST_AUTO_TEST_CASE(refusalsCancelsAndReloads_areCountedByKind)
{
    metrics.countRefusedAttempt(base::ResultCode::HopQueueFull);
    metrics.countRefusedAttempt(base::ResultCode::HopQueueFull);
    metrics.countCancel("never-started");
    metrics.countReload("taken");
    metrics.countReload("kept");

    BOOST_TEST(scrapeContains(R"(papayastep_refused_attempts_total{code="4004"} 2)"));
    BOOST_TEST(scrapeContains(R"(papayastep_cancels_total{answer="never-started"} 1)"));
    BOOST_TEST(scrapeContains(R"(papayastep_settings_reloads_total{result="taken"} 1)"));
    BOOST_TEST(scrapeContains(R"(papayastep_settings_reloads_total{result="kept"} 1)"));
}

BOOST_AUTO_TEST_CASE(grayServer_isCountedAsHeldAndReturned)
{
    metrics.countHold(counter, "overdue");
    metrics.countReturn(counter);
    metrics.countHealthEvent("floor-held");

    BOOST_TEST(scrapeContains(R"(papayastep_server_holds_total{evidence="overdue",service="counter"} 1)"));
    BOOST_TEST(scrapeContains(R"(papayastep_server_returns_total{service="counter"} 1)"));
    BOOST_TEST(scrapeContains(R"(papayastep_health_events_total{event="floor-held"} 1)"));
}

BOOST_AUTO_TEST_CASE(total_setTwice_isNotAddedUp)
{
    metrics.setTotal("tokens_granted", 5);
    metrics.setTotal("tokens_granted", 7);

    BOOST_TEST(scrapeContains("papayastep_tokens_granted_total 7"));
}

BOOST_AUTO_TEST_CASE(gauge_ofRemovedService_isNoLongerShown)
{
    metrics.setGauge("slots", 5, {{"service", "counter"}});
    metrics.clearGauge("slots");
    metrics.setGauge("slots", 4, {{"service", "van"}});

    BOOST_TEST(!scrapeContains(R"(papayastep_slots{service="counter"} 5)"));
    BOOST_TEST(scrapeContains(R"(papayastep_slots{service="van"} 4)"));
}

// A node of a large fleet handles a thousand services. With separate series for each, the metrics would need more
// memory than the rest of the node, and the node would be killed for lack of memory although its servers are healthy.
BOOST_AUTO_TEST_CASE(services_inLargeNumber_shareOneLabel)
{
    for (int i = 0; i < 1'200; ++i) {
        const base::ServiceId service("service-" + std::to_string(i));
        metrics.countRequest({service, true, node::EndedRequest::answeredOutcome, base::ResultCode::Ok, 30ms});
    }

    BOOST_TEST(metrics.serviceLabel(base::ServiceId("service-0")) == "service-0");
    BOOST_TEST(metrics.serviceLabel(base::ServiceId("service-1199")) == "other");
    BOOST_TEST(metrics.text().size() < 200'000U);
}

BOOST_AUTO_TEST_SUITE_END()
