#include "papayastep/node/metrics.h"

#include <prometheus/text_serializer.h>

#include <algorithm>

namespace papayastep::node {

namespace {

/// A planned fleet has 1,200 services, and each may take some dozens of series at a node.
constexpr std::size_t mostServiceLabels = 64;
constexpr const char *otherServices = "other";
constexpr const char *noService = "none";

const prometheus::Histogram::BucketBoundaries secondsBuckets{
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};

double seconds(base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

NodeMetrics::NodeMetrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_requests(counters("requests_total", "Requests of callers that ended (code 0: answered by a backend server)"))
    , m_requestSeconds(histograms("request_seconds", "Time from the head of a request to its answer"))
    , m_attempts(counters("attempts_total", "What was heard of attempts"))
    , m_retryDecisions(counters("retry_decisions_total", "What was done after an attempt"))
    , m_placements(counters("placements_total", "Attempts placed, by why their server was chosen"))
    , m_queueWait(histograms("queue_wait_seconds", "Time that attempts waited for a slot of a backend server"))
    , m_served(
          counters("served_attempts_total", "Attempts that backend servers of this VM worked on, by how they ended"))
    , m_slotHeld(histograms("slot_held_seconds", "Time that attempts held a slot of a backend server"))
    , m_refusedAttempts(counters("refused_attempts_total", "Attempts that this node refused before they ran"))
    , m_cancels(counters("cancels_total", "Cancels of attempts that came to this node, by its answer"))
    , m_holds(counters("server_holds_total", "Times that a backend server of this VM was held back as gray"))
    , m_returns(counters("server_returns_total", "Times that a server held back answered again"))
    , m_healthEvents(counters("health_events_total", "Decisions about servers and paths"))
    , m_reloads(counters("settings_reloads_total", "Changed settings files, taken over or refused and kept from use"))
{
}

void NodeMetrics::countRequest(const EndedRequest &request)
{
    const std::string service = serviceLabel(request.service);
    const std::string outcome(request.outcome);
    m_requests
        .Add({{"service", service},
              {"kind", request.idempotent ? "idempotent" : "other"},
              {"outcome", outcome},
              {"code", std::to_string(number(request.code))}})
        .Increment();
    m_requestSeconds.Add({{"service", service}, {"outcome", outcome}}, secondsBuckets).Observe(seconds(request.took));
}

void NodeMetrics::countAttempt(const base::ServiceId &service, std::string_view event)
{
    m_attempts.Add({{"service", serviceLabel(service)}, {"event", std::string(event)}}).Increment();
}

void NodeMetrics::countRetryDecision(const base::ServiceId &service, std::string_view action)
{
    m_retryDecisions.Add({{"service", serviceLabel(service)}, {"action", std::string(action)}}).Increment();
}

void NodeMetrics::countPlacement(const base::ServiceId &service, std::string_view reason)
{
    m_placements.Add({{"service", serviceLabel(service)}, {"reason", std::string(reason)}}).Increment();
}

void NodeMetrics::observeQueueWait(const base::ServiceId &service, base::Duration wait)
{
    m_queueWait.Add({{"service", serviceLabel(service)}}, secondsBuckets).Observe(seconds(wait));
}

void NodeMetrics::countServed(const ServedAttempt &attempt)
{
    const std::string service = serviceLabel(attempt.service);
    m_served.Add({{"service", service}, {"outcome", std::string(attempt.outcome)}}).Increment();
    m_slotHeld.Add({{"service", service}}, secondsBuckets).Observe(seconds(attempt.held));
}

void NodeMetrics::countRefusedAttempt(base::ResultCode code)
{
    m_refusedAttempts.Add({{"code", std::to_string(number(code))}}).Increment();
}

void NodeMetrics::countCancel(std::string_view answer)
{
    m_cancels.Add({{"answer", std::string(answer)}}).Increment();
}

void NodeMetrics::countHold(const base::ServiceId &service, std::string_view evidence)
{
    m_holds.Add({{"service", serviceLabel(service)}, {"evidence", std::string(evidence)}}).Increment();
}

void NodeMetrics::countReturn(const base::ServiceId &service)
{
    m_returns.Add({{"service", serviceLabel(service)}}).Increment();
}

void NodeMetrics::countHealthEvent(std::string_view event)
{
    m_healthEvents.Add({{"event", std::string(event)}}).Increment();
}

void NodeMetrics::countReload(std::string_view result)
{
    m_reloads.Add({{"result", std::string(result)}}).Increment();
}

void NodeMetrics::set(const std::string &name, double value, const Labels &labels)
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

void NodeMetrics::clear(const std::string &name)
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

std::string NodeMetrics::serviceLabel(const base::ServiceId &service)
{
    if (service.empty()) {
        return noService;
    }
    if (m_services.contains(service.value())) {
        return service.value();
    }
    if (m_services.size() >= mostServiceLabels) {
        return otherServices;
    }
    m_services.insert(service.value());
    return service.value();
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
