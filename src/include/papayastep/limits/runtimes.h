#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"

#include <cstddef>
#include <map>

namespace papayastep::limits {

/// How long runs take at one backend server, by route.
///
/// A server may serve requests that take a second and calls that take a tenth of it. Judged by the mean of both, a call
/// seems too long for its deadline and is refused, and a long request seems to hang.
class RunTimes
{
public:
    /// `firstGuess`: taken before the first run.
    explicit RunTimes(base::Duration firstGuess);

    void record(const base::RouteId &route, base::Duration run);

    /// Over all routes, as they come.
    base::Duration mean() const;
    /// Leans on mean() until the route has some runs.
    base::Duration mean(const base::RouteId &route) const;

    /// How many runs the figures are made of.
    std::size_t runs() const;
    std::size_t runs(const base::RouteId &route) const;

private:
    /// A mean that follows about the last runs.
    struct Mean
    {
        base::Duration value{0};
        std::size_t runs = 0;

        void record(base::Duration run);
    };

    base::Duration m_initialEstimate;
    Mean m_all;
    std::map<base::RouteId, Mean> m_routes;
};

}
