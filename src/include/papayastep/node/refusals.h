#pragma once

#include "papayastep/net/httpmessage.h"
#include "papayastep/routing/outcome.h"

#include <string>

/// Answers that the system generates itself (docs/CALLERS.md).
namespace papayastep::node {

/// Returns the HTTP status for a result code.
net::http::status httpStatus(base::ResultCode code);

/// Returns a refusal as an HTTP answer with the headers Papayastep-Outcome, -Code, -Retry and Retry-After and the same
/// data as JSON. `requestId` may be empty if the request has no id yet.
net::WholeAnswer refusalAnswer(const routing::Refusal &refusal,
                               const std::string &requestId,
                               const std::string &detail = {});

/// Returns a refusal of a request that certainly did not run, with the retry class for its result code.
routing::Refusal notRunRefusal(base::ResultCode code, base::Duration retryAfter = {});

}
