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

/// One request of a caller that has ended.
struct EndedRequest
{
    base::ServiceId service; ///< Empty if the request was refused before a route was found.
    bool idempotent = false;
    std::string_view outcome; ///< One of the constants below, or the name of a routing::Outcome.
    base::ResultCode code = base::ResultCode::Ok; ///< Result code of a refusal.
    base::Duration duration{};

    // Outcomes other than those of a refusal.

    static constexpr std::string_view answeredOutcome
        = "answered"; ///< The caller received the answer of a backend server.
    static constexpr std::string_view brokenOffOutcome
        = "broken-off"; ///< The caller received only a part of such an answer.
    static constexpr std::string_view givenUpOutcome = "given-up"; ///< The caller disconnected before it was answered.

    auto operator<=>(const EndedRequest &) const = default;
};

/// One attempt that a backend server of this VM has processed.
struct ServedAttempt
{
    base::ServiceId service;
    std::string_view outcome; ///< Name of a health::AttemptOutcome.
    base::Duration slotHeldTime{}; ///< Time for which the attempt occupied a slot of the server.

    auto operator<=>(const ServedAttempt &) const = default;
};

/// The metrics of a node for Prometheus. The label sets are bounded: services, codes and kinds, never workspaces, keys
/// or requests. Routes are counted by their service and by whether they are idempotent: 32,000 routes with about ten
/// codes each would need more memory than a node has.
class NodeMetrics
{
public:
    using Labels = std::map<std::string, std::string>;

    NodeMetrics();

    // Metrics of the entry.

    void countRequest(const EndedRequest &request);
    /// Counts an event of an attempt, as reported to the entry.
    void countAttempt(const base::ServiceId &service, std::string_view event);
    /// Counts the action of the retry policy after an attempt.
    void countRetryDecision(const base::ServiceId &service, std::string_view action);
    void countPlacement(const base::ServiceId &service, std::string_view reason);

    /// Observes the time from the first announcement of a missing configuration to its activation.
    void observeConfigurationDelay(base::Duration delay);

    // Metrics of the serving side.

    void observeQueueWait(const base::ServiceId &service, base::Duration wait);
    void countServed(const ServedAttempt &attempt);
    /// Counts an attempt that was refused before it ran.
    void countRefusedAttempt(base::ResultCode code);
    void countCancel(std::string_view answer);
    /// Counts that a backend server is held back, or that it answers again after a hold.
    void countHold(const base::ServiceId &service, std::string_view evidence);
    void countReturn(const base::ServiceId &service);

    // Metrics of the whole node.

    void countHealthEvent(std::string_view event);
    /// Counts a reload of the settings; `result` is `taken` or `kept`.
    void countReload(std::string_view result);

    // Values that other components maintain, copied just before each scrape.

    void setGauge(const std::string &name, double value, const Labels &labels = {});
    /// Sets a running total since the start; `_total` is appended to its name.
    void setTotal(const std::string &name, double value, const Labels &labels = {});
    /// Removes all series of a gauge, so that no series remain for services that no longer exist.
    void clearGauge(const std::string &name);

    /// Returns the label value for `service`: its own name, `other` once the maximum number of service labels is in
    /// use, or `none` if it is empty.
    const std::string &serviceLabel(const base::ServiceId &service);

    /// Returns all metrics in the text format of Prometheus.
    std::string text() const;

private:
    prometheus::Family<prometheus::Counter> &counters(const std::string &name, const std::string &help = {});
    prometheus::Family<prometheus::Histogram> &histograms(const std::string &name, const std::string &help);

    std::shared_ptr<prometheus::Registry> m_registry;
    std::unordered_set<std::string> m_services; ///< Services that have a label of their own.
    MetricFamily<prometheus::Counter> m_requests;
    MetricFamily<prometheus::Histogram> m_requestSeconds;
    MetricFamily<prometheus::Counter> m_attempts;
    MetricFamily<prometheus::Counter> m_retryDecisions;
    MetricFamily<prometheus::Counter> m_placements;
    MetricFamily<prometheus::Histogram> m_configurationDelay;
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
