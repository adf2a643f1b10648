#include "papayastep/routing/routetable.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace papayastep;
using namespace papayastep::routing;

namespace {

config::Route route(const std::string &id, const std::string &host, const std::string &prefix)
{
    config::Route result;
    result.id = base::RouteId(id);
    result.host = host;
    result.pathPrefix = prefix;
    result.service = base::ServiceId("counter");
    return result;
}

struct RouteTableFixture
{
    std::vector<config::Route> routes;

    std::string match(const std::string &host, const std::string &method, const std::string &target) const
    {
        config::Configuration::Parts parts;
        parts.routes = routes;
        const RouteTable table(std::make_shared<const config::Configuration>(1, parts));
        const auto found = table.match(host, method, target);
        return found ? found->route->id.value() + (found->idempotent ? " idempotent" : "") : "none";
    }
};

/// Reference implementation of the matching rules, which examines every route.
const config::Route *referenceMatch(const std::vector<config::Route> &routes,
                                    const std::string &host,
                                    const std::string &path)
{
    const config::Route *best = nullptr;
    for (const auto &candidate : routes) {
        std::string prefix = candidate.pathPrefix;
        while (!prefix.empty() && prefix.back() == '/') {
            prefix.pop_back();
        }
        const bool fits = path.starts_with(prefix) && (path.size() == prefix.size() || path[prefix.size()] == '/');
        if (!fits || (!candidate.host.empty() && candidate.host != host)) {
            continue;
        }
        const auto keyOf = [](const config::Route &r) {
            auto length = r.pathPrefix.find_last_not_of('/') + 1;
            return std::make_tuple(r.host.empty(), -static_cast<long>(length), r.id);
        };
        if (best == nullptr || keyOf(candidate) < keyOf(*best)) {
            best = &candidate;
        }
    }
    return best;
}

}

BOOST_FIXTURE_TEST_CASE(routeTable_withNestedPrefixes_matchesLongestOnSegmentBorder, RouteTableFixture)
{
    routes = {route("all", "", "/"), route("refunds", "", "/refunds"), route("paid", "", "/refunds/paid/")};
    BOOST_TEST(match("any", "POST", "/refunds") == "refunds");
    BOOST_TEST(match("any", "POST", "/refunds/7?x=/refunds/paid") == "refunds");
    BOOST_TEST(match("any", "GET", "/refunds/paid") == "paid idempotent");
    BOOST_TEST(match("any", "POST", "/refundsx") == "all");
}

BOOST_FIXTURE_TEST_CASE(routeTable_withHosts_prefersNamedHost, RouteTableFixture)
{
    routes = {route("any", "", "/vouchers/history"), route("named", "Counter.Example", "/vouchers")};
    BOOST_TEST(match("counter.example:8080", "POST", "/vouchers/history") == "named");
    BOOST_TEST(match("other.example", "POST", "/vouchers/history") == "any");
    BOOST_TEST(match("other.example", "POST", "/vouchers") == "none");
}

BOOST_FIXTURE_TEST_CASE(routeTable_withMethods_skipsRoutesThatDoNotAllowThem, RouteTableFixture)
{
    routes = {route("read", "", "/stock"), route("write", "", "/stock"), route("all", "", "/")};
    routes[0].methods = {"GET"};
    routes[1].methods = {"POST"};
    routes[1].idempotent = true;
    BOOST_TEST(match("h", "GET", "/stock") == "read idempotent");
    BOOST_TEST(match("h", "POST", "/stock") == "write idempotent");
    BOOST_TEST(match("h", "DELETE", "/stock") == "all");
}

// A caller writes the path of a refund like that of a lookup, with dot segments, escapes or doubled slashes that the
// backend server resolves. Routed as a lookup, the refund would be repeated after a timeout and paid twice.
BOOST_FIXTURE_TEST_CASE(routeTable_withAmbiguousPath_matchesNothing, RouteTableFixture)
{
    routes = {route("lookups", "", "/lookups"), route("refunds", "", "/refunds"), route("all", "", "/")};
    routes[0].idempotent = true;
    routes[2].idempotent = true;
    for (const std::string path : {"/lookups/../refunds",
                                   "/lookups/%2e%2E/refunds",
                                   "/lookups/.%2e/refunds",
                                   "/lookups%2f..%2frefunds",
                                   "/lookups/..",
                                   "/./refunds",
                                   "//refunds",
                                   "/lookups//x",
                                   "/lookups\\..\\refunds",
                                   "/lookups/%5c",
                                   "/%zz",
                                   "/lookups%2",
                                   "refunds",
                                   ""}) {
        BOOST_TEST(match("h", "POST", path) == "none", path);
    }
    BOOST_TEST(match("h", "POST", "/%72efunds/") == "refunds");
    BOOST_TEST(match("h", "POST", "/lookups/...") == "lookups idempotent");
    BOOST_TEST(match("h", "POST", "/lookups/a%2Fb") == "lookups idempotent");
}

RC_BOOST_PROP(routeTable_withRandomRoutes_agreesWithReference, ())
{
    const auto word = rc::gen::element<std::string>("a", "b", "ab", "c");
    const auto path = rc::gen::map(rc::gen::container<std::vector<std::string>>(word), [](const auto &words) {
        std::string result;
        for (const auto &each : words) {
            result += "/" + each;
        }
        return result.empty() ? std::string("/") : result;
    });
    const auto host = rc::gen::element<std::string>("", "x", "y");
    std::vector<config::Route> routes;
    const auto count = *rc::gen::inRange(0, 30);
    routes.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        routes.push_back(route("r" + std::to_string(i), *host, *path));
    }
    config::Configuration::Parts parts;
    parts.routes = routes;
    const RouteTable table(std::make_shared<const config::Configuration>(1, parts));
    const auto asked = *path;
    const auto *expected = referenceMatch(routes, "x", asked);
    const auto found = table.match("X:80", "POST", asked);
    RC_ASSERT(found.has_value() == (expected != nullptr));
    if (found) {
        RC_ASSERT(found->route->id == expected->id);
    }
}
