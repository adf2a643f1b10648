// Copies the counters and states of the components of a node into its metrics before each scrape.

#include "papayastep/net/task.h"
#include "papayastep/node/node.h"

#include <algorithm>

namespace papayastep::node {

namespace {

template<typename Integer>
double real(Integer value)
{
    return static_cast<double>(value);
}

/// Returns the age in seconds, or -1 if nothing has been received yet.
double ageSeconds(std::optional<base::Duration> age)
{
    return age ? std::chrono::duration<double>(*age).count() : -1;
}

}

void Node::collectMetrics()
{
    collectConfigurationMetrics();
    collectTrafficMetrics();
    collectDecisionMetrics();
    collectSlotMetrics();
}

/// Collects the metrics of the configuration and the platform, including the age of the data.
void Node::collectConfigurationMetrics()
{
    NodeMetrics &metrics = m_context.metrics;
    const membership::DistributionStatus spread = m_spread.status();
    metrics.setGauge("configuration_revision", real(m_published ? m_published->revision() : 0));
    metrics.setGauge("configuration_news_age_seconds", ageSeconds(spread.confirmationAge));
    metrics.setTotal("configurations_rejected", real(spread.rejectedCount));
    metrics.setGauge("configuration_skipped_entries", real(spread.skippedEntries));
    metrics.setTotal("configuration_peers_asked", real(spread.peersAsked));
    metrics.setTotal("configuration_peers_silent", real(spread.peersTimedOut));
    metrics.setTotal("configuration_peers_declined", real(spread.peersDeclined));
    metrics.setTotal("configuration_requests_declined", real(spread.requestsDeclined));
    metrics.setGauge("configuration_store_bytes", real(spread.storeBytes));
    metrics.setGauge("platform_stale", spread.platformStale ? 1 : 0);
    metrics.setGauge("vm_list_version", real(spread.vmListVersion));
    metrics.setGauge("vms", real(m_context.vms.vms.size()));
    if (m_directoryUpdater) {
        metrics.setGauge("directory_news_age_seconds", ageSeconds(m_serverDirectory.timeSinceAnswer()));
        metrics.setGauge("evacuated_zones", real(m_serverDirectory.evacuatedZones().size()));
    }
    for (const auto &[kind, total] : m_context.interfaces.platformCalls->totals()) {
        const NodeMetrics::Labels labels{{"call", kind.call}, {"answer", kind.answer}};
        metrics.setTotal("platform_calls", real(total.calls), labels);
        metrics.setTotal("platform_call_seconds", std::chrono::duration<double>(total.totalDuration).count(), labels);
    }
}

void Node::collectTrafficMetrics()
{
    NodeMetrics &metrics = m_context.metrics;
    const net::PeerEndpoint::Counters &peers = m_peerMessenger.counters();
    metrics.setTotal("peer_messages_sent", real(peers.messagesSent));
    metrics.setTotal("peer_messages_received", real(peers.messagesReceived));
    metrics.setTotal("peer_bytes_received", real(peers.bytesReceived));
    metrics.setTotal("peer_messages_dropped", real(peers.dropped));
    metrics.setTotal("peer_connections_silent", real(peers.silentConnections));
    metrics.setTotal("peer_messages_refused", real(m_peerMessenger.refusedMessages()));
    metrics.setTotal("peer_bytes_sent", real(peers.bytesSent));
    for (const auto &[kind, tally] : m_peerMessenger.sentByKind()) {
        metrics.setTotal(
            "peer_bytes_sent_of_kind", real(tally.bytes), {{"kind", std::to_string(static_cast<int>(kind))}});
    }
    for (std::size_t number = 0; number < transferPurposes; ++number) {
        const auto purpose = static_cast<TransferPurpose>(number);
        for (const bool leavesZone : {false, true}) {
            metrics.setTotal("transferred_bytes",
                             real(m_context.transfers.bytes(purpose, leavesZone)),
                             {{"purpose", std::string(name(purpose))}, {"zone", leavesZone ? "other" : "own"}});
        }
    }
    metrics.setGauge("peer_sockets", real(m_peerMessenger.openSockets()));
    const base::LogOutput::Counters log = m_log.counters();
    metrics.setTotal("log_lines_written", real(log.written));
    metrics.setTotal("log_bytes_written", real(log.bytes));
    metrics.setTotal("log_lines_dropped", real(log.dropped));
    metrics.setGauge("caller_connections", real(m_callerServer.connections()));
    metrics.setTotal("caller_connections_refused", real(m_callerServer.refusedConnections()));
    const net::PipelineCounters &pipelines = m_callerServer.pipelineCounters();
    metrics.setTotal("caller_requests_pipelined", real(pipelines.startedConcurrently));
    metrics.setTotal("caller_pipeline_pauses", real(pipelines.pauses));
    metrics.setTotal("task_faults", real(net::taskFaults(m_context.io).count()));
}

void Node::collectDecisionMetrics()
{
    NodeMetrics &metrics = m_context.metrics;
    const limits::LimiterCounters &tokens = m_context.tokens.counters();
    metrics.setTotal("tokens_admitted", real(tokens.admitted));
    metrics.setTotal("tokens_admitted_waiting", real(tokens.admittedWaiting));
    metrics.setTotal("tokens_admitted_alone", real(tokens.admittedLocally));
    metrics.setTotal("tokens_refused", real(tokens.refused));
    metrics.setTotal("tokens_refused_silent", real(tokens.refusedUnanswered));
    metrics.setTotal("tokens_given_back", real(tokens.givenBack));
    metrics.setTotal("tokens_granted", tokens.tokensGranted);
    metrics.setTotal("tokens_lent", tokens.tokensLent);
    metrics.setTotal("token_asks_sent", real(tokens.asksSent));
    metrics.setTotal("token_grants_made", real(tokens.grantsMade));
    metrics.setTotal("token_loans_made", real(tokens.loansMade));
    metrics.setTotal("token_messages_ignored", real(tokens.messagesIgnored));
    metrics.setTotal("token_tenures_lost", real(tokens.tenuresLost));
    metrics.setTotal("token_claims_denied", real(tokens.claimsDenied));
    metrics.setTotal("token_pauses", real(tokens.pauses));
    metrics.setGauge("token_workspaces", real(m_context.tokens.activeWorkspaces()));

    const health::HealthCounters &health = m_context.health.counters();
    metrics.setTotal("health_evaluations", real(health.evaluations));
    metrics.setTotal("health_ejections", real(health.ejections));
    metrics.setTotal("health_returns", real(health.returns));
    metrics.setTotal("health_trials", real(health.trials));
    metrics.setTotal("health_floor_holds", real(health.floorHolds));
    metrics.setTotal("health_path_ejections", real(health.pathEjections));
    metrics.setTotal("health_path_returns", real(health.pathReturns));
    metrics.setTotal("health_pauses", real(health.pauses));
    metrics.setTotal("health_messages_ignored", real(health.messagesIgnored));

    const routing::RetryBudgetCounters &retries = m_servingNode.retryCounters();
    metrics.setTotal("retries_spent", real(retries.spent));
    metrics.setTotal("retries_refused", real(retries.refusedByService), {{"budget", "service"}});
    metrics.setTotal("retries_refused", real(retries.refusedByWorkspace), {{"budget", "workspace"}});
    metrics.clearGauge("retry_budget_left");
    std::map<std::string, double> least;
    for (const auto &[service, left] : m_servingNode.availableRetries()) {
        const auto [place, isNew] = least.try_emplace(metrics.serviceLabel(service), left);
        place->second = std::min(place->second, left);
    }
    for (const auto &[service, left] : least) {
        metrics.setGauge("retry_budget_left", left, {{"service", service}});
    }
    metrics.setTotal("server_ends", real(m_context.serverEnds.counters().ends));
    metrics.setTotal("requests_refused_for_server_ends", real(m_context.serverEnds.counters().refused));
    metrics.setGauge("requests_that_end_servers", real(m_context.serverEnds.refusedRequests()));
    metrics.setGauge("ledger_records", real(m_context.ledgerHome.ledger().size()));
    metrics.setGauge("ledger_bytes", real(m_context.ledgerHome.ledger().bytes()));
}

void Node::collectSlotMetrics()
{
    NodeMetrics &metrics = m_context.metrics;
    for (const char *name : {"slots",
                             "slots_in_use",
                             "slots_queued",
                             "slots_overflowing",
                             "servers_held",
                             "servers_cold",
                             "servers_down",
                             "servers_limited",
                             "servers_leaving"}) {
        metrics.clearGauge(name);
    }
    std::map<std::string, SlotUse> byLabel;
    for (const auto &[service, use] : m_servingNode.slotUse()) {
        byLabel[metrics.serviceLabel(service)] += use;
    }
    for (const auto &[service, use] : byLabel) {
        const NodeMetrics::Labels labels{{"service", service}};
        metrics.setGauge("slots", use.slots, labels);
        metrics.setGauge("slots_in_use", real(use.running), labels);
        metrics.setGauge("slots_queued", real(use.queued), labels);
        metrics.setGauge("slots_overflowing", real(use.overflowing), labels);
        metrics.setGauge("servers_held", real(use.heldBackServers), labels);
        metrics.setGauge("servers_cold", real(use.coldServers), labels);
        metrics.setGauge("servers_down", real(use.downServers), labels);
        metrics.setGauge("servers_limited", real(use.limitedServers), labels);
        metrics.setGauge("servers_leaving", real(use.leavingServers), labels);
    }
    const limits::OverflowCounters overflow = m_servingNode.overflowCounters();
    metrics.setTotal("overflow_attempts", real(overflow.queued), {{"event", "queued"}});
    metrics.setTotal("overflow_attempts", real(overflow.started), {{"event", "started"}});
    metrics.setTotal("overflow_attempts", real(overflow.dropped), {{"event", "dropped"}});
    collectLocalServerMetrics();
    metrics.setGauge("requests_open", real(m_entryHandler.openRequests()));
    metrics.setGauge("attempts_serving", real(m_servingNode.inFlight()));
    metrics.setGauge("attempts_queued", real(m_servingNode.queued()));
}

/// The label is the service: a VM has one backend server, so the series of one node are those of one server.
void Node::collectLocalServerMetrics()
{
    NodeMetrics &metrics = m_context.metrics;
    metrics.setTotal("announcements_unknown", real(m_servingNode.unknownAnnouncements()));
    metrics.clearGauge("server_limit_per_second");
    metrics.clearGauge("server_starts");
    for (const LocalServerStatus &server : m_servingNode.localServers()) {
        const NodeMetrics::Labels labels{{"service", metrics.serviceLabel(server.service)}};
        metrics.setGauge("server_starts", real(server.starts), labels);
        if (server.announced.requestsPerSecond) {
            metrics.setGauge("server_limit_per_second", *server.announced.requestsPerSecond, labels);
        }
    }
}

}
