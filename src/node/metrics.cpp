#include "papayastep/node/metrics.h"

#include <prometheus/text_serializer.h>

namespace papayastep::node {

namespace {

const prometheus::Histogram::BucketBoundaries secondsBuckets{
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};

double seconds(base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

NodeMetrics::NodeMetrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_requests(prometheus::BuildCounter()
                     .Name("papayastep_requests_total")
                     .Help("Requests of callers that ended, by result code (0: answered by a backend server)")
                     .Register(*m_registry))
    , m_attempts(prometheus::BuildCounter()
                     .Name("papayastep_attempts_total")
                     .Help("Attempts that ended, by how")
                     .Register(*m_registry))
    , m_duration(prometheus::BuildHistogram()
                     .Name("papayastep_request_seconds")
                     .Help("Time from the head of a request to its answer")
                     .Register(*m_registry)
                     .Add({}, secondsBuckets))
    , m_queueWait(prometheus::BuildHistogram()
                      .Name("papayastep_queue_wait_seconds")
                      .Help("Time that attempts waited for a slot of a backend server")
                      .Register(*m_registry)
                      .Add({}, secondsBuckets))
{
}

void NodeMetrics::countRequest(const base::ServiceId &service, base::ResultCode code, base::Duration duration)
{
    m_requests.Add({{"service", service.value()}, {"code", std::to_string(number(code))}}).Increment();
    m_duration.Observe(seconds(duration));
}

void NodeMetrics::countAttempt(const base::ServiceId &service, std::string_view event)
{
    m_attempts.Add({{"service", service.value()}, {"event", std::string(event)}}).Increment();
}

void NodeMetrics::observeQueueWait(base::Duration wait)
{
    m_queueWait.Observe(seconds(wait));
}

void NodeMetrics::set(const std::string &name, double value)
{
    auto &gauge = m_gauges[name];
    if (gauge == nullptr) {
        gauge = &prometheus::BuildGauge().Name("papayastep_" + name).Register(*m_registry).Add({});
    }
    gauge->Set(value);
}

std::string NodeMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

}
