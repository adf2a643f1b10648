#include "papayastep/node/refusals.h"

#include <nlohmann/json.hpp>

#include <chrono>

namespace papayastep::node {

namespace {

using base::ResultCode;
using net::http::status;

constexpr base::Duration defaultRetryAfter = std::chrono::seconds(1);

bool isPermanent(ResultCode code)
{
    switch (code) {
    case ResultCode::RequestMalformed:
    case ResultCode::RequestAmbiguousLength:
    case ResultCode::RequestHeaderTooLarge:
    case ResultCode::RequestBodyTooLarge:
    case ResultCode::RequestReservedHeader:
    case ResultCode::KeyMissing:
    case ResultCode::KeyUnknown:
    case ResultCode::RouteUnknown:
    case ResultCode::HopUnauthenticated:
    case ResultCode::HopMalformed:
    case ResultCode::RequestEndsServers:
        return true;
    default:
        return false;
    }
}

// A detail may quote bytes of a caller that are not valid UTF-8; they are replaced, so that they do not abort the
// connection instead of sending the refusal.
std::string utf8(const nlohmann::json &body)
{
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string roundedUpSeconds(base::Duration duration)
{
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(duration).count());
}

}

status httpStatus(ResultCode code)
{
    switch (code) {
    case ResultCode::RequestMalformed:
    case ResultCode::RequestAmbiguousLength:
    case ResultCode::RequestReservedHeader:
    case ResultCode::IdempotencyKeyInvalid:
    case ResultCode::HopMalformed:
        return status::bad_request;
    case ResultCode::RequestHeaderTooLarge:
        return status::request_header_fields_too_large;
    case ResultCode::RequestBodyTooLarge:
        return status::payload_too_large;
    case ResultCode::RequestTooSlow:
        return status::request_timeout;
    case ResultCode::KeyMissing:
    case ResultCode::KeyUnknown:
        return status::unauthorized;
    case ResultCode::HopUnauthenticated:
        return status::forbidden;
    case ResultCode::RouteUnknown:
        return status::not_found;
    case ResultCode::RateExceeded:
        return status::too_many_requests;
    case ResultCode::IdempotencyRunning:
        return status::conflict;
    case ResultCode::IdempotencyKeyReused:
        return status::unprocessable_entity;
    case ResultCode::AnswerIncomplete:
    case ResultCode::AnswerStatusInvalid:
    case ResultCode::AnswerTooLarge:
        return status::bad_gateway;
    case ResultCode::DeadlineExceeded:
    case ResultCode::OutcomeUnknown:
        return status::gateway_timeout;
    default:
        return status::service_unavailable;
    }
}

net::WholeAnswer refusalAnswer(const routing::Refusal &refusal, const std::string &requestId, const std::string &detail)
{
    const auto retryAfter = std::chrono::ceil<std::chrono::milliseconds>(refusal.retryAfter);
    nlohmann::json body{{"code", number(refusal.code)},
                        {"name", name(refusal.code)},
                        {"text", text(refusal.code)},
                        {"outcome", routing::name(refusal.outcome)},
                        {"retry", routing::name(refusal.retryClass)},
                        {"retryAfterMs", retryAfter.count()}};
    if (!requestId.empty()) {
        body["requestId"] = requestId;
    }
    if (!detail.empty()) {
        body["detail"] = detail;
    }
    net::WholeAnswer answer = net::jsonAnswer(httpStatus(refusal.code), utf8(body) + "\n");
    const auto outcome = routing::name(refusal.outcome);
    const auto retry = routing::name(refusal.retryClass);
    answer.head.set("Papayastep-Outcome", net::beast::string_view(outcome.data(), outcome.size()));
    answer.head.set("Papayastep-Code", std::to_string(number(refusal.code)));
    answer.head.set("Papayastep-Retry", net::beast::string_view(retry.data(), retry.size()));
    if (!requestId.empty()) {
        answer.head.set("Papayastep-Request-Id", requestId);
    }
    if (refusal.retryAfter > base::Duration::zero()) {
        answer.head.set(net::http::field::retry_after, roundedUpSeconds(refusal.retryAfter));
        answer.head.set("Papayastep-Retry-After-Ms", std::to_string(retryAfter.count()));
    }
    if (answer.head.result() == status::unauthorized) {
        answer.head.set(net::http::field::www_authenticate, "Bearer");
    }
    return answer;
}

routing::Refusal notRunRefusal(ResultCode code, base::Duration retryAfter)
{
    routing::Refusal refusal;
    refusal.outcome = routing::Outcome::NotRun;
    refusal.code = code;
    if (isPermanent(code)) {
        refusal.retryClass = routing::RetryClass::Never;
        return refusal;
    }
    refusal.retryClass = routing::RetryClass::Later;
    refusal.retryAfter = retryAfter > base::Duration::zero() ? retryAfter : defaultRetryAfter;
    return refusal;
}

}
