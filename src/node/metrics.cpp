#include "papayastep/node/metrics.h"

#include <prometheus/text_serializer.h>

#include <algorithm>

namespace papayastep::node {

namespace {

/// Maximum number of services with a label of their own. A planned fleet has 1,200 services, and each may need dozens
/// of series at a node.
constexpr std::size_t maxServiceLabels = 64;

/// Upper bounds of the histogram buckets, in seconds.
const prometheus::Histogram::BucketBoundaries secondsBuckets{
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};

double seconds(base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

NodeMetrics::NodeMetrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_requests(counters("requests_total", "Requests of callers that ended (code 0: answered by a backend server)"),
                 {"service", "kind", "outcome", "code"})
    , m_requestSeconds(histograms("request_seconds", "Time from the head of a request to its answer"),
                       {"service", "outcome"})
    , m_attempts(counters("attempts_total", "What was heard of attempts"), {"service", "event"})
    , m_retryDecisions(counters("retry_decisions_total", "What was done after an attempt"), {"service", "action"})
    , m_placements(counters("placements_total", "Attempts placed, by why their server was chosen"),
                   {"service", "reason"})
    , m_configurationDelay(histograms("configuration_delay_seconds",
                                      "Time from the first announcement of a missing configuration to its activation"),
                           {})
    , m_queueWait(histograms("queue_wait_seconds", "Time that attempts waited for a slot of a backend server"),
                  {"service"})
    , m_served(
          counters("served_attempts_total", "Attempts that backend servers of this VM worked on, by how they ended"),
          {"service", "outcome"})
    , m_slotHeld(histograms("slot_held_seconds", "Time that attempts held a slot of a backend server"), {"service"})
    , m_refusedAttempts(counters("refused_attempts_total", "Attempts that this node refused before they ran"), {"code"})
    , m_cancels(counters("cancels_total", "Cancels of attempts that came to this node, by its answer"), {"answer"})
    , m_holds(counters("server_holds_total", "Times that a backend server of this VM was held back as gray"),
              {"service", "evidence"})
    , m_returns(counters("server_returns_total", "Times that a server held back answered again"), {"service"})
    , m_healthEvents(counters("health_events_total", "Decisions about servers and paths"), {"event"})
    , m_reloads(counters("settings_reloads_total", "Changed settings files, taken over or refused and kept from use"),
                {"result"})
{
}

void NodeMetrics::countRequest(const EndedRequest &request)
{
    const std::string &service = serviceLabel(request.service);
    const std::string code = std::to_string(number(request.code));
    const std::string_view kind = request.idempotent ? "idempotent" : "other";
    m_requests.withLabels({service, kind, request.outcome, code}).Increment();
    m_requestSeconds.withLabels({service, request.outcome}, secondsBuckets).Observe(seconds(request.duration));
}

void NodeMetrics::countAttempt(const base::ServiceId &service, std::string_view event)
{
    m_attempts.withLabels({serviceLabel(service), event}).Increment();
}

void NodeMetrics::countRetryDecision(const base::ServiceId &service, std::string_view action)
{
    m_retryDecisions.withLabels({serviceLabel(service), action}).Increment();
}

void NodeMetrics::countPlacement(const base::ServiceId &service, std::string_view reason)
{
    m_placements.withLabels({serviceLabel(service), reason}).Increment();
}

void NodeMetrics::observeConfigurationDelay(base::Duration delay)
{
    m_configurationDelay.withLabels({}, secondsBuckets).Observe(seconds(delay));
}

void NodeMetrics::observeQueueWait(const base::ServiceId &service, base::Duration wait)
{
    m_queueWait.withLabels({serviceLabel(service)}, secondsBuckets).Observe(seconds(wait));
}

void NodeMetrics::countServed(const ServedAttempt &attempt)
{
    const std::string &service = serviceLabel(attempt.service);
    m_served.withLabels({service, attempt.outcome}).Increment();
    m_slotHeld.withLabels({service}, secondsBuckets).Observe(seconds(attempt.slotHeldTime));
}

void NodeMetrics::countRefusedAttempt(base::ResultCode code)
{
    m_refusedAttempts.withLabels({std::to_string(number(code))}).Increment();
}

void NodeMetrics::countCancel(std::string_view answer)
{
    m_cancels.withLabels({answer}).Increment();
}

void NodeMetrics::countHold(const base::ServiceId &service, std::string_view evidence)
{
    m_holds.withLabels({serviceLabel(service), evidence}).Increment();
}

void NodeMetrics::countReturn(const base::ServiceId &service)
{
    m_returns.withLabels({serviceLabel(service)}).Increment();
}

void NodeMetrics::countHealthEvent(std::string_view event)
{
    m_healthEvents.withLabels({event}).Increment();
}

void NodeMetrics::countReload(std::string_view result)
{
    m_reloads.withLabels({result}).Increment();
}

void NodeMetrics::setGauge(const std::string &name, double value, const Labels &labels)
{
    auto &family = m_gauges[name];
    if (family == nullptr) {
        family = &prometheus::BuildGauge().Name("papayastep_" + name).Register(*m_registry);
    }
    auto &gauge = m_gaugeSeries[name][labels];
    if (gauge == nullptr) {
        gauge = &family->Add(labels);
    }
    gauge->Set(value);
}

void NodeMetrics::setTotal(const std::string &name, double value, const Labels &labels)
{
    auto &family = m_totals[name];
    if (family == nullptr) {
        family = &counters(name + "_total");
    }
    prometheus::Counter &counter = family->Add(labels);
    counter.Increment(std::max(0.0, value - counter.Value()));
}

void NodeMetrics::clearGauge(const std::string &name)
{
    const auto series = m_gaugeSeries.find(name);
    if (series == m_gaugeSeries.end()) {
        return;
    }
    for (const auto &[labels, gauge] : series->second) {
        m_gauges[name]->Remove(gauge);
    }
    m_gaugeSeries.erase(series);
}

const std::string &NodeMetrics::serviceLabel(const base::ServiceId &service)
{
    static const std::string none = "none";
    static const std::string other = "other";
    if (service.empty()) {
        return none;
    }
    const auto known = m_services.find(service.value());
    if (known != m_services.end()) {
        return *known;
    }
    return m_services.size() < maxServiceLabels ? *m_services.insert(service.value()).first : other;
}

std::string NodeMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

prometheus::Family<prometheus::Counter> &NodeMetrics::counters(const std::string &name, const std::string &help)
{
    return prometheus::BuildCounter().Name("papayastep_" + name).Help(help).Register(*m_registry);
}

prometheus::Family<prometheus::Histogram> &NodeMetrics::histograms(const std::string &name, const std::string &help)
{
    return prometheus::BuildHistogram().Name("papayastep_" + name).Help(help).Register(*m_registry);
}

}
