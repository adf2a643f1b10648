#pragma once

#include "syntheticfleet.h"

#include <deque>

/// The usual detectors of proxies, to measure against. Not shipped. They hear more than they would in a proxy in
/// front: every outcome of every entry, at once.
namespace papayastep::health::synthetic {

/// What the baselines share: a fixed ejection time, and a limit on how many may be ejected.
class BaselineDetector : public Detector
{
public:
    BaselineDetector(const ServiceProfile &shape, const base::ManualClock &clock);

    void started(int server, const AttemptKey &key, const std::string &route) override;
    void finished(int server, const AttemptKey &key, AttemptOutcome outcome, base::Duration latency) override;
    void hopSent(int entry, int server, const AttemptKey &key) override;
    void hopAcknowledged(int entry, int server, const AttemptKey &key) override;
    void hopEnded(int entry,
                  int server,
                  const AttemptKey &key,
                  HopOutcome outcome,
                  base::Duration latency,
                  bool reached) override;
    void probeFinished(int server, bool good) override;
    bool admits(int server) override;
    void tick(base::TimePoint now) override;
    double weight(int entry, int server) override;
    int busy(int entry, int server) override;
    std::vector<Ejection> takeEjections() override;

protected:
    virtual void record(int server, bool good, base::Duration latency) = 0;
    virtual void evaluate(base::TimePoint now);
    void eject(int server);
    bool isEjected(int server) const;

    ServiceProfile m_profile;
    const base::ManualClock &m_clock;

private:
    std::vector<base::TimePoint> m_ejectedUntil;
    std::vector<int> m_busy;
    std::vector<Ejection> m_ejections;
};

/// Five failures in a row.
class ConsecutiveFailures final : public BaselineDetector
{
public:
    ConsecutiveFailures(const ServiceProfile &shape, const base::ManualClock &clock);

protected:
    void record(int server, bool good, base::Duration latency) override;

private:
    std::vector<int> m_failures;
};

/// Every ten seconds: a success rate below the mean by 1.9 standard deviations.
class SuccessRateOutlier final : public BaselineDetector
{
public:
    SuccessRateOutlier(const ServiceProfile &shape, const base::ManualClock &clock);

protected:
    void record(int server, bool good, base::Duration latency) override;
    void evaluate(base::TimePoint now) override;

private:
    std::vector<int> m_good;
    std::vector<int> m_all;
    base::TimePoint m_evaluatedAt;
};

/// Five answers in a row that failed or took longer than half a second.
class FixedLatencyLimit final : public BaselineDetector
{
public:
    FixedLatencyLimit(const ServiceProfile &shape, const base::ManualClock &clock);

protected:
    void record(int server, bool good, base::Duration latency) override;

private:
    std::vector<int> m_slow;
};

/// `variant`: papayastep, consecutive-failures, success-rate-outlier or fixed-latency-limit.
std::unique_ptr<Detector> makeDetector(const std::string &variant,
                                       const ServiceProfile &shape,
                                       const base::ManualClock &clock,
                                       std::uint64_t seed,
                                       Link link);

}
