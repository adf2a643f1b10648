#pragma once

#include "papayastep/net/httpmessage.h"
#include "papayastep/routing/outcome.h"

#include <string>

/// Answers that the system makes itself (docs/CALLERS.md).
namespace papayastep::node {

/// HTTP status for a result code.
net::http::status httpStatus(base::ResultCode code);

/// A refusal as an HTTP answer: headers Papayastep-Outcome, -Code, -Retry, Retry-After, and the same as JSON.
/// `requestId` may be empty where the request has none yet.
net::WholeAnswer refusalAnswer(const routing::Refusal &refusal,
                               const std::string &requestId,
                               const std::string &detail = {});

/// A refusal of something that certainly did not run, with the retry class that fits its code.
routing::Refusal notRunRefusal(base::ResultCode code, base::Duration retryAfter = {});

}
