#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"

#include <cstddef>
#include <map>

namespace papayastep::limits {

/// Run times of requests at one backend server, by route.
///
/// A backend server may serve requests that take a second and calls that take a tenth of that. With one mean for both,
/// a call is expected to miss its deadline and is refused, and a long request looks as if it hung.
class RunTimes
{
public:
    /// `initialEstimate` is the mean until the first run is recorded.
    explicit RunTimes(base::Duration initialEstimate);

    void record(const base::RouteId &route, base::Duration run);

    /// Mean over all runs, regardless of their route.
    base::Duration mean() const;
    /// Mean run time of `route`. While the route has few runs, the result is weighted towards mean().
    base::Duration mean(const base::RouteId &route) const;

    /// Number of recorded runs.
    std::size_t runs() const;
    std::size_t runs(const base::RouteId &route) const;

private:
    /// Moving mean over about the last 8 runs.
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
