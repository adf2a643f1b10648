#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"
#include "papayastep/base/resultcode.h"
#include "papayastep/node/metricfamily.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

namespace papayastep::node {

/// One request of a caller that is done.
struct EndedRequest
{
    base::ServiceId service; ///< Empty: refused before a route was found.
    bool idempotent = false;
    std::string_view outcome; ///< One of those below, or the name of a routing::Outcome.
    base::ResultCode code = base::ResultCode::Ok; ///< Of a refusal.
    base::Duration duration{};

    // Outcomes beside those of a refusal.

    static constexpr std::string_view answeredOutcome = "answered"; ///< With a backend server's answer.
    static constexpr std::string_view brokenOffOutcome = "broken-off"; ///< With a part of such an answer.
    static constexpr std::string_view givenUpOutcome = "given-up"; ///< The caller went away first.

    auto operator<=>(const EndedRequest &) const = default;
};

/// One attempt that a backend server of this VM worked on.
struct ServedAttempt
{
    base::ServiceId service;
    std::string_view outcome; ///< Name of a health::AttemptOutcome.
    base::Duration slotHeldTime{}; ///< How long it held a slot of the server.

    auto operator<=>(const ServedAttempt &) const = default;
};

/// What a node counts for Prometheus. The label sets are bounded: services, codes and kinds, never workspaces, keys or
/// requests. Routes are counted by their service and by whether they may be repeated: 32,000 routes with some ten codes
/// each would take more memory than a node has.
class NodeMetrics
{
public:
    using Labels = std::map<std::string, std::string>;

    NodeMetrics();

    // The entry.

    void countRequest(const EndedRequest &request);
    /// What was heard of an attempt.
    void countAttempt(const base::ServiceId &service, std::string_view event);
    /// What was done about it.
    void countRetryDecision(const base::ServiceId &service, std::string_view action);
    void countPlacement(const base::ServiceId &service, std::string_view reason);

    // The serving node.

    void observeQueueWait(const base::ServiceId &service, base::Duration wait);
    void countServed(const ServedAttempt &attempt);
    /// An attempt refused before it ran.
    void countRefusedAttempt(base::ResultCode code);
    void countCancel(std::string_view answer);
    /// A backend server is held back, or answers again after that.
    void countHold(const base::ServiceId &service, std::string_view evidence);
    void countReturn(const base::ServiceId &service);

    // The whole node.

    void countHealthEvent(std::string_view event);
    /// `result`: `taken` or `kept`.
    void countReload(std::string_view result);

    // What other parts keep, read just before each scrape.

    void setGauge(const std::string &name, double value, const Labels &labels = {});
    /// A running total since the start; its name gets the ending `_total`.
    void setTotal(const std::string &name, double value, const Labels &labels = {});
    /// Drops the series of a gauge, so that those of services that are gone do not stay.
    void clearGauge(const std::string &name);

    /// `service` as a label: the service itself, or `other` for those that came when there were many already, or
    /// `none`.
    const std::string &serviceLabel(const base::ServiceId &service);

    /// The text format of Prometheus.
    std::string text() const;

private:
    prometheus::Family<prometheus::Counter> &counters(const std::string &name, const std::string &help = {});
    prometheus::Family<prometheus::Histogram> &histograms(const std::string &name, const std::string &help);

    std::shared_ptr<prometheus::Registry> m_registry;
    std::unordered_set<std::string> m_services; ///< With a label of their own.
    MetricFamily<prometheus::Counter> m_requests;
    MetricFamily<prometheus::Histogram> m_requestSeconds;
    MetricFamily<prometheus::Counter> m_attempts;
    MetricFamily<prometheus::Counter> m_retryDecisions;
    MetricFamily<prometheus::Counter> m_placements;
    MetricFamily<prometheus::Histogram> m_queueWait;
    MetricFamily<prometheus::Counter> m_served;
    MetricFamily<prometheus::Histogram> m_slotHeld;
    MetricFamily<prometheus::Counter> m_refusedAttempts;
    MetricFamily<prometheus::Counter> m_cancels;
    MetricFamily<prometheus::Counter> m_holds;
    MetricFamily<prometheus::Counter> m_returns;
    MetricFamily<prometheus::Counter> m_healthEvents;
    MetricFamily<prometheus::Counter> m_reloads;
    std::map<std::string, prometheus::Family<prometheus::Gauge> *> m_gauges;
    std::map<std::string, std::map<Labels, prometheus::Gauge *>> m_gaugeSeries;
    std::map<std::string, prometheus::Family<prometheus::Counter> *> m_totals;
};

}
