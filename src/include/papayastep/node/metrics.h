#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"
#include "papayastep/base/resultcode.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace papayastep::node {

/// What a node counts for Prometheus. Labels are services, codes and kinds, never workspaces or keys: with 120,000
/// workspaces their series alone would exceed the memory of a node.
class NodeMetrics
{
public:
    NodeMetrics();

    /// One request of a caller is done. `code` is Ok where the answer is the backend server's.
    void countRequest(const base::ServiceId &service, base::ResultCode code, base::Duration duration);
    void countAttempt(const base::ServiceId &service, std::string_view event);
    void observeQueueWait(base::Duration wait);

    /// Sets a gauge or running total that another part keeps; read just before each scrape.
    void set(const std::string &name, double value);

    /// The text format of Prometheus.
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Family<prometheus::Counter> &m_attempts;
    prometheus::Histogram &m_duration;
    prometheus::Histogram &m_queueWait;
    std::map<std::string, prometheus::Gauge *> m_gauges;
};

}
