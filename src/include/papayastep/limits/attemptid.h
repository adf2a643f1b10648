#pragma once

#include "papayastep/base/identifiers.h"

namespace papayastep::limits {

/// One attempt to run a request. A retry has another attempt number.
struct AttemptId
{
    base::RequestId request;
    int attempt = 0;

    auto operator<=>(const AttemptId &) const = default;
};

}
