#include "papayastep/node/nodecontext.h"

namespace papayastep::node {

namespace {

routing::LedgerSettings ledgerSettings(const NodeSettings &settings)
{
    routing::LedgerSettings ledger;
    ledger.noEarlierRuns = settings.noEarlierRuns;
    return ledger;
}

std::unique_ptr<routing::PlacementPolicy> placementPolicy(PlacementChoice choice)
{
    if (choice == PlacementChoice::Random) {
        return std::make_unique<routing::RandomPlacement>();
    }
    return std::make_unique<routing::TwoChoicePlacement>();
}

}

NodeContext::NodeContext(net::asio::io_context &ioContext,
                         const base::Clock &systemClock,
                         NodeSettings nodeSettings,
                         std::uint64_t seed)
    : io(ioContext)
    , clock(systemClock)
    , settings(std::move(nodeSettings))
    , incarnation(std::mt19937_64(seed)())
    , random(seed)
    , hopCodec(settings.secret)
    , hopPool(io, clock, {})
    , backendPool(io, clock, {})
    , tokens({settings.vm, settings.zone, incarnation}, clock)
    , health({settings.vm, incarnation}, clock, random())
    , retryBudget(clock)
    , retryPolicy(clock, retryBudget)
    , ledgerHome(clock, settings.vm, incarnation, ledgerSettings(settings))
    , ledgerClient(clock, settings.vm, ledgerHome, ledgerSettings(settings))
    , placement(placementPolicy(settings.placement))
{
}

base::RequestId NodeContext::newRequestId()
{
    return {random(), random()};
}

}
