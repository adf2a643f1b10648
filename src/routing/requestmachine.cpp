#include "papayastep/routing/requestmachine.h"

#include <string_view>

namespace papayastep::embedded {

extern const std::string_view requestChartJson;

}

namespace papayastep::routing {

std::shared_ptr<const base::StateChart> requestChart()
{
    // The order of the names is the order of the enums.
    static const auto chart = base::StateChart::parse(
        embedded::requestChartJson,
        {"received", "admitted", "claiming", "placed", "acknowledged", "cancelling", "answered", "refused", "unknown"},
        {"admit",
         "claim",
         "claim-granted",
         "place",
         "acknowledge",
         "retry",
         "cancel",
         "cancel-failed",
         "answer",
         "refuse",
         "lose-track"});
    return chart;
}

RequestMachine::RequestMachine()
    : base::StateMachine<RequestState, RequestEvent>(requestChart())
{
}

}
