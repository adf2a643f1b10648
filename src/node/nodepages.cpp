// The HTTP pages of a node for operators: /healthz, /readyz, /status, /explain and /metrics.

#include "papayastep/net/task.h"
#include "papayastep/node/candidates.h"
#include "papayastep/node/node.h"

#include <nlohmann/json.hpp>

namespace papayastep::node {

namespace {

using Json = nlohmann::json;

double milliseconds(base::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

std::string_view name(health::Availability availability)
{
    switch (availability) {
    case health::Availability::Usable:
        return "usable";
    case health::Availability::Trial:
        return "trial";
    case health::Availability::Ejected:
        return "ejected";
    case health::Availability::Draining:
        return "draining";
    case health::Availability::Gone:
        return "gone";
    }
    return "unknown";
}

std::string_view name(health::PathState path)
{
    switch (path) {
    case health::PathState::Good:
        return "good";
    case health::PathState::Trial:
        return "trial";
    case health::PathState::Broken:
        return "broken";
    }
    return "unknown";
}

Json serverJson(const NodeContext &context, const config::BackendServer &server)
{
    const health::ServerView view = context.health.view(server.id);
    Json json{{"id", server.id.value()},
              {"service", server.service.value()},
              {"vm", server.vm.value()},
              {"zone", server.zone.value()},
              {"availability", name(view.availability)},
              {"path", name(view.path)},
              {"weight", view.weight},
              {"slots", server.slots},
              {"slotsInUse", view.slotsInUse},
              {"queueLength", view.queueLength},
              {"latencyMs", milliseconds(view.latency)},
              {"reason", view.reason}};
    if (view.age) {
        json["ageMs"] = milliseconds(*view.age);
    }
    return json;
}

Json localServerJson(const LocalServerStatus &server)
{
    Json json{{"id", server.id.value()},
              {"service", server.service.value()},
              {"leaving", server.announced.isLeaving},
              {"starts", server.starts}};
    if (server.announced.requestsPerSecond) {
        json["limitPerSecond"] = *server.announced.requestsPerSecond;
    }
    return json;
}

Json workspaceJson(const limits::WorkspaceStatus &status)
{
    Json shares = Json::array();
    for (const limits::ShareStatus &share : status.shares) {
        shares.push_back({{"zone", share.zone.value()},
                          {"holder", share.holder.value()},
                          {"held", share.held},
                          {"rate", share.rate},
                          {"burst", share.burst},
                          {"level", share.level},
                          {"outstanding", share.outstanding},
                          {"borrowed", share.borrowed}});
    }
    return {{"id", status.workspace.value()},
            {"entryTokens", status.entryTokens},
            {"demand", status.demand},
            {"shares", shares}};
}

net::WholeAnswer badQuery(const std::string &what)
{
    return net::jsonAnswer(net::http::status::bad_request, Json{{"error", what}}.dump() + "\n");
}

}

void Node::addAdminPages()
{
    m_adminHandler.addPage("/healthz",
                           [](const auto &) { return net::jsonAnswer(net::http::status::ok, "{\"alive\": true}\n"); });
    m_adminHandler.addPage("/readyz", [this](const auto &) { return readyPage(); });
    m_adminHandler.addPage("/status", [this](const auto &query) { return statusPage(query); });
    m_adminHandler.addPage("/explain", [this](const auto &query) { return explainPage(query); });
    m_readyHandler.addPage(m_context.settings.readyPath, [this](const auto &) { return readyPage(); });
    m_adminHandler.addPage("/metrics", [this](const auto &) { return metricsPage(); });
}

net::WholeAnswer Node::readyPage() const
{
    // A rolling restart continues with the next node once this node is ready. If the node reported ready before it
    // holds the shares of this VM, several restarts in a row would leave no holder that may grant tokens, and callers
    // within their rate limit would be refused.
    const bool settled = m_context.tokens.isReady() || m_context.clock.now() >= m_readyDeadline;
    const bool ready = m_stateMachine.state() == NodeState::Serving && settled;
    const auto status = ready ? net::http::status::ok : net::http::status::service_unavailable;
    return net::jsonAnswer(
        status, Json{{"ready", ready}, {"state", m_stateMachine.stateName()}, {"holdsShares", settled}}.dump() + "\n");
}

net::WholeAnswer Node::statusPage(const AdminHandler::Query &query) const
{
    const membership::DistributionStatus spread = m_spread.status();
    Json status{{"vm", m_context.settings.vm.value()},
                {"zone", m_context.settings.zone.value()},
                {"incarnation", std::to_string(m_context.incarnation)},
                {"state", m_stateMachine.stateName()},
                {"revision", spread.revision},
                {"platformRevision", spread.platformRevision},
                {"platformStale", spread.platformStale},
                {"reader", spread.reader},
                {"rejection", spread.lastRejection},
                {"skippedEntries", spread.skippedEntries},
                {"vmListVersion", spread.vmListVersion},
                {"vms", m_context.vms.vms.size()},
                {"open", m_entryHandler.openRequests()},
                {"serving", m_servingNode.inFlight()},
                {"queued", m_servingNode.queued()}};
    if (spread.confirmationAge) {
        status["newsAgeMs"] = milliseconds(*spread.confirmationAge);
    }
    status["evacuatedZones"] = Json::array();
    for (const base::ZoneId &zone : m_serverDirectory.evacuatedZones()) {
        status["evacuatedZones"].push_back(zone.value());
    }
    status["localServers"] = Json::array();
    for (const LocalServerStatus &server : m_servingNode.localServers()) {
        status["localServers"].push_back(localServerJson(server));
    }
    status["servers"] = Json::array();
    const auto &configuration = m_context.active.configuration;
    const auto workspace = query.find("workspace");
    if (configuration && workspace == query.end()) {
        for (const config::BackendServer &server : configuration->backendServers()) {
            status["servers"].push_back(serverJson(m_context, server));
        }
    }
    if (workspace != query.end()) {
        status["workspace"] = workspaceJson(m_context.tokens.status(base::WorkspaceId(workspace->second)));
    }
    return net::jsonAnswer(net::http::status::ok, status.dump(2) + "\n");
}

net::WholeAnswer Node::explainPage(const AdminHandler::Query &query)
{
    const auto valueOf = [&](const char *name) {
        const auto found = query.find(name);
        return found != query.end() ? found->second : std::string();
    };
    if (!m_context.active.configuration) {
        return badQuery("the node has no configuration yet");
    }
    const auto match = m_context.active.routes->match(valueOf("host"), valueOf("method"), valueOf("path"));
    if (!match) {
        return badQuery("no route matches");
    }
    const auto candidates = candidatesOf(m_context, match->route->service);
    const routing::PlacementRequest request{m_context.settings.zone, match->idempotent, {}};
    const routing::TwoChoicePlacement policy;
    const auto placement = policy.place(candidates, request, m_context.random);
    const auto explanation = policy.explain(candidates, request, placement);
    Json rows = Json::array();
    for (const routing::ScoredCandidate &row : explanation.candidates) {
        rows.push_back({{"server", row.candidate.server.value()},
                        {"vm", row.candidate.vm.value()},
                        {"zone", row.candidate.zone.value()},
                        {"eligible", row.eligible},
                        {"score", row.score},
                        {"note", row.note},
                        {"reason", m_context.health.view(row.candidate.server).reason}});
    }
    const Json answer{{"route", match->route->id.value()},
                      {"service", match->route->service.value()},
                      {"idempotent", match->idempotent},
                      {"explanation", explanation.sentence},
                      {"candidates", rows}};
    return net::jsonAnswer(net::http::status::ok, answer.dump(2) + "\n");
}

net::WholeAnswer Node::metricsPage()
{
    collectMetrics();
    net::WholeAnswer answer = net::jsonAnswer(net::http::status::ok, m_context.metrics.text());
    answer.head.set(net::http::field::content_type, "text/plain; version=0.0.4");
    return answer;
}

}
