#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/resultcode.h"

#include <string_view>

/// What a caller is told when it gets no answer of a backend server.
namespace papayastep::routing {

/// Whether the request may have had an effect. `NotRun` is said only where it is proved.
enum class Outcome { NotRun, Unknown };

/// What a caller may do next.
enum class RetryClass {
    Never, ///< The same request would be refused again.
    Later, ///< Safe to repeat after the wait.
    WithSameKey, ///< Safe to repeat after the wait, with the same Idempotency-Key.
    WithNewKey, ///< Safe with a new Idempotency-Key, if every earlier answer for the old key said not-run.
    AfterCheck, ///< The caller must find out first whether the request took effect.
};

/// Value of the header `Papayastep-Outcome`.
std::string_view name(Outcome outcome);

/// Value of the header `Papayastep-Retry`.
std::string_view name(RetryClass retryClass);

/// A final answer that the system makes itself.
struct Refusal
{
    Outcome outcome = Outcome::NotRun;
    base::ResultCode code = base::ResultCode::Internal;
    RetryClass retryClass = RetryClass::Later;
    base::Duration retryAfter{0}; ///< When to come back; 0: at any time.

    auto operator<=>(const Refusal &) const = default;
};

}
