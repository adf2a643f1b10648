#include "papayastep/routing/outcome.h"

namespace papayastep::routing {

std::string_view name(Outcome outcome)
{
    return outcome == Outcome::NotRun ? "not-run" : "unknown";
}

std::string_view name(RetryClass retryClass)
{
    switch (retryClass) {
    case RetryClass::Never:
        return "never";
    case RetryClass::Later:
        return "later";
    case RetryClass::WithSameKey:
        return "with-same-key";
    case RetryClass::WithNewKey:
        return "with-new-key";
    case RetryClass::AfterCheck:
        return "after-check";
    }
    return "never";
}

}
