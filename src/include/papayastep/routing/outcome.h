#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/resultcode.h"

#include <string_view>

/// The answer to a caller that gets no answer from a backend server.
namespace papayastep::routing {

/// Whether the request may have had an effect. `NotRun` is reported only where it is proved.
enum class Outcome { NotRun, Unknown };

/// The ways in which a caller may repeat the request.
enum class RetryClass {
    Never, ///< The same request would be refused again.
    Later, ///< The request is safe to repeat after the wait.
    WithSameKey, ///< The request is safe to repeat after the wait, with the same Idempotency-Key.
    WithNewKey, ///< A new Idempotency-Key is safe if every earlier answer for the old key said not-run.
    AfterCheck, ///< The caller must first find out whether the request took effect.
};

/// Returns the value of the header `Papayastep-Outcome`.
std::string_view name(Outcome outcome);

/// Returns the value of the header `Papayastep-Retry`.
std::string_view name(RetryClass retryClass);

/// A final answer that the system generates itself.
struct Refusal
{
    Outcome outcome = Outcome::NotRun;
    base::ResultCode code = base::ResultCode::Internal;
    RetryClass retryClass = RetryClass::Later;
    base::Duration retryAfter{0}; ///< Time to wait before a repeat; 0: none.

    auto operator<=>(const Refusal &) const = default;
};

}
