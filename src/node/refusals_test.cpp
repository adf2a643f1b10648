#include "papayastep/node/refusals.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace papayastep;
using namespace papayastep::node;
using namespace std::chrono_literals;

namespace {

std::string headerOf(const net::WholeAnswer &answer, const std::string &name)
{
    return std::string(answer.head[name]);
}

}

BOOST_AUTO_TEST_CASE(refusal_notRun_isReportedInHeadersAndJson)
{
    const auto answer = refusalAnswer(notRunRefusal(base::ResultCode::RateExceeded, 1500ms), "id-1", "detail");
    BOOST_TEST(answer.head.result_int() == 429u);
    BOOST_TEST(headerOf(answer, "Papayastep-Outcome") == "not-run");
    BOOST_TEST(headerOf(answer, "Papayastep-Code") == "3010");
    BOOST_TEST(headerOf(answer, "Papayastep-Request-Id") == "id-1");
    BOOST_TEST(headerOf(answer, "Papayastep-Retry-After-Ms") == "1500");
    BOOST_TEST(headerOf(answer, "Content-Type") == "application/json");
    const auto body = nlohmann::json::parse(answer.body);
    BOOST_TEST(body["code"] == 3010);
    BOOST_TEST(body["name"] == "RateExceeded");
    BOOST_TEST(body["outcome"] == "not-run");
    BOOST_TEST(body["retry"] == headerOf(answer, "Papayastep-Retry"));
    BOOST_TEST(body["retryAfterMs"] == 1500);
    BOOST_TEST(body["requestId"] == "id-1");
    BOOST_TEST(body["detail"] == "detail");
}

BOOST_AUTO_TEST_CASE(refusal_unknown_isReportedInHeadersAndJson)
{
    const routing::Refusal refusal{
        routing::Outcome::Unknown, base::ResultCode::OutcomeUnknown, routing::RetryClass::AfterCheck, {}};
    const auto answer = refusalAnswer(refusal, "");
    BOOST_TEST(answer.head.result_int() == 504u);
    BOOST_TEST(headerOf(answer, "Papayastep-Outcome") == "unknown");
    BOOST_TEST(answer.head.count("Retry-After") == 0u);
    BOOST_TEST(answer.head.count("Papayastep-Request-Id") == 0u);
    const auto body = nlohmann::json::parse(answer.body);
    BOOST_TEST(body["outcome"] == "unknown");
    BOOST_TEST(!body.contains("requestId"));
    BOOST_TEST(!body.contains("detail"));
}

// Retry-After is given in whole seconds. If it were rounded down, the caller would retry too early and be refused
// again.
BOOST_AUTO_TEST_CASE(refusal_withFractionOfSecond_roundsRetryAfterUp)
{
    for (const auto &[wait, seconds] : {std::pair(1ms, "1"), {1000ms, "1"}, {1001ms, "2"}, {1999ms, "2"}}) {
        const auto answer = refusalAnswer(notRunRefusal(base::ResultCode::RateExceeded, wait), "");
        BOOST_TEST(headerOf(answer, "Retry-After") == seconds);
    }
}

BOOST_AUTO_TEST_CASE(refusal_permanent_hasNoRetryAfter)
{
    const auto answer = refusalAnswer(notRunRefusal(base::ResultCode::KeyUnknown, 5s), "");
    BOOST_TEST(answer.head.result_int() == 401u);
    BOOST_TEST(headerOf(answer, "WWW-Authenticate") == "Bearer");
    BOOST_TEST(answer.head.count("Retry-After") == 0u);
}
