#include "serverevidence.h"

#include "papayastep/base/hashing.h"

#include <algorithm>
#include <cmath>

namespace papayastep::health {

namespace {

enum Test : std::size_t { SlowerTest, MuchSlowerTest, FailureTest };

constexpr double scoreCap = 1.5; ///< In thresholds. It bounds how long a recovered server stays suspect.
constexpr double failedProbeScore = 1.386; ///< ln 4: a failed probe at most quadruples the false ejections.
constexpr double failureWeight = 0.02; ///< Weight of one attempt in the moving average of failures.
constexpr std::size_t minOwnAnswers = 16; ///< Answers from which the own median replaces missing siblings.
constexpr std::size_t maxRoutes = 256; ///< Bounds the memory; a node serves the routes of its own services only.
constexpr double offsetStep = 0.003; ///< Octaves for each answer; the offset adapts within a minute of traffic.
constexpr double largestOffset = 0.5; ///< Octaves: a latency 1.41 times as long.
constexpr int persistentRefusals = 3;
constexpr int trialSuccesses = 8;
constexpr double trialAccept = -1.5;
constexpr double trialReject = 4;
constexpr int trialMaxRefusals = 2;
const base::Duration rateWindow = std::chrono::seconds(10);

double seconds(base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

bool isRefusal(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::ConnectionRefused || outcome == AttemptOutcome::Shed;
}

bool isFailure(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::Error || outcome == AttemptOutcome::Partial || outcome == AttemptOutcome::Timeout;
}

}

std::uint32_t shortHash(const std::string &id)
{
    return static_cast<std::uint32_t>(base::stableHash(id));
}

void ServerEvidence::started(const AttemptKey &key, std::uint32_t route, base::TimePoint now)
{
    m_rate = requestsPerSecond(now) + 1 / seconds(rateWindow);
    m_rateUpdated = now;
    m_inFlight[key] = InFlight{now, route, true, m_trialRunning};
}

void ServerEvidence::finished(const AttemptKey &key,
                              AttemptOutcome outcome,
                              base::Duration latency,
                              base::TimePoint now,
                              const ServiceReference &usual)
{
    const auto found = m_inFlight.find(key);
    if (found == m_inFlight.end()) {
        return;
    }
    const InFlight attempt = found->second;
    m_inFlight.erase(found);
    if (!attempt.valid) {
        return;
    }
    m_lastFinished = now;
    recordAcceptance(attempt, outcome, now);
    if (isRefusal(outcome)) {
        m_trialRefusals += attempt.inTrial ? 1 : 0;
        return;
    }
    if (outcome == AttemptOutcome::CancelledByUs) {
        recordTimeout(attempt, latency, usual);
        return;
    }
    if (outcome == AttemptOutcome::CallFailed) {
        return;
    }
    const bool failed = isFailure(outcome);
    const FailureModel failures(usual.failureShare);
    addEvidence(FailureTest, failed ? failures.failed : failures.good, attempt.inTrial);
    m_failureShare += failureWeight * ((failed ? 1.0 : 0.0) - m_failureShare);
    if (outcome == AttemptOutcome::Success) {
        recordSuccess(attempt, latency, usual);
    } else if (outcome == AttemptOutcome::Timeout) {
        recordTimeout(attempt, latency, usual);
    }
}

void ServerEvidence::recordAcceptance(const InFlight &attempt, AttemptOutcome outcome, base::TimePoint now)
{
    if (outcome == AttemptOutcome::CancelledByUs) {
        return;
    }
    if (!isRefusal(outcome)) {
        // The late end of an attempt that began before the refusals does not show that the server accepts work now.
        if (m_refusingSince && attempt.startedAt < *m_refusingSince) {
            return;
        }
        m_refusingSince.reset();
        m_refusals = 0;
        return;
    }
    if (!m_refusingSince) {
        m_refusingSince = now;
        m_onlyShed = false;
    }
    m_onlyShed = m_onlyShed || outcome == AttemptOutcome::Shed;
    ++m_refusals;
}

void ServerEvidence::recordSuccess(const InFlight &attempt, base::Duration latency, const ServiceReference &usual)
{
    m_recent.add(latency);
    if (m_routes.contains(attempt.route) || m_routes.size() < maxRoutes) {
        m_routes[attempt.route].add(latency);
    }
    m_trialSuccesses += attempt.inTrial ? 1 : 0;
    const auto times = ratio(attempt.route, latency, usual);
    if (!times) {
        return;
    }
    m_trialCompared = m_trialCompared || attempt.inTrial;
    if (!m_cold || attempt.inTrial) {
        addEvidence(SlowerTest, usual.model.answered(LatencyModel::Slower, *times), attempt.inTrial);
    }
    addEvidence(MuchSlowerTest, usual.model.answered(LatencyModel::MuchSlower, *times), attempt.inTrial);
    if (m_learning) {
        learn(*times);
    }
}

// No two VMs are equally fast. A server that is always a fifth slower than the median would approach its ejection on
// every busy day, so its usual offset from the median counts as healthy within bounds. The bounds keep a server that
// degrades slowly from adapting to its own degradation.
void ServerEvidence::learn(double ratio)
{
    m_histogram.add(ratio);
    m_usualOffset = std::clamp(m_usualOffset + (ratio > 1 ? offsetStep : -offsetStep), -largestOffset, largestOffset);
}

void ServerEvidence::recordTimeout(const InFlight &attempt, base::Duration latency, const ServiceReference &usual)
{
    const auto times = ratio(attempt.route, latency, usual);
    if (!times) {
        return;
    }
    addEvidence(SlowerTest, usual.model.waiting(LatencyModel::Slower, *times), attempt.inTrial);
    addEvidence(MuchSlowerTest, usual.model.waiting(LatencyModel::MuchSlower, *times), attempt.inTrial);
}

void ServerEvidence::addEvidence(std::size_t test, double evidence, bool inTrial)
{
    if (inTrial) {
        m_trialScores[test] += evidence;
    }
    m_tests[test].add(evidence, m_baseScore, scoreCap * m_threshold);
}

std::optional<double> ServerEvidence::ratio(std::uint32_t route,
                                            base::Duration latency,
                                            const ServiceReference &usual) const
{
    base::Duration reference{};
    if (const auto reported = usual.routeLatency.find(route); reported != usual.routeLatency.end()) {
        reference = reported->second;
    } else if (const auto own = m_routes.find(route); own != m_routes.end() && own->second.size() >= minOwnAnswers) {
        reference = own->second.median();
    }
    if (reference <= base::Duration::zero()) {
        return std::nullopt;
    }
    return seconds(latency) / seconds(reference) / std::exp2(m_usualOffset);
}

void ServerEvidence::setThreshold(double threshold)
{
    m_threshold = threshold;
}

double ServerEvidence::threshold() const
{
    return m_threshold;
}

void ServerEvidence::setProbeResult(bool good)
{
    m_baseScore = good ? 0 : failedProbeScore;
}

void ServerEvidence::setCold(bool cold)
{
    m_cold = cold;
}

void ServerEvidence::addInFlight(Scores &scores,
                                 bool trialOnly,
                                 base::TimePoint now,
                                 const ServiceReference &usual) const
{
    for (const auto &[key, attempt] : m_inFlight) {
        if (!attempt.valid || (trialOnly && !attempt.inTrial)) {
            continue;
        }
        if (const auto times = ratio(attempt.route, now - attempt.startedAt, usual)) {
            scores[SlowerTest] += usual.model.waiting(LatencyModel::Slower, *times);
            scores[MuchSlowerTest] += usual.model.waiting(LatencyModel::MuchSlower, *times);
        }
    }
}

ServerEvidence::Scores ServerEvidence::scores(base::TimePoint now, const ServiceReference &usual) const
{
    Scores result{};
    std::transform(m_tests.begin(), m_tests.end(), result.begin(), [](const Cusum &test) { return test.score(); });
    addInFlight(result, false, now, usual);
    return result;
}

double ServerEvidence::severity(base::TimePoint now, const ServiceReference &usual) const
{
    const Scores all = scores(now, usual);
    return std::min(*std::max_element(all.begin(), all.end()) / m_threshold, scoreCap);
}

bool ServerEvidence::refusesPersistently(base::TimePoint now,
                                         const HealthSettings &settings,
                                         const ServiceReference &usual) const
{
    if (!m_refusingSince || m_refusals < persistentRefusals || !usual.siblingsAccept) {
        return false;
    }
    return now - *m_refusingSince >= (m_onlyShed ? settings.shedLimit : settings.refusalLimit);
}

bool ServerEvidence::accepting() const
{
    return m_refusals < persistentRefusals;
}

std::string ServerEvidence::explanation(base::TimePoint now, const ServiceReference &usual) const
{
    if (!accepting()) {
        return "it accepts no work while its siblings do";
    }
    const Scores all = scores(now, usual);
    const auto worst = std::max_element(all.begin(), all.end()) - all.begin();
    if (worst == FailureTest) {
        return "it fails more often than its siblings";
    }
    return worst == MuchSlowerTest ? "it hangs or is many times slower than its siblings"
                                   : "it is slower than its siblings";
}

void ServerEvidence::resetTests()
{
    for (Cusum &test : m_tests) {
        test.reset();
    }
    m_refusingSince.reset();
    m_refusals = 0;
    m_trialRunning = false;
}

void ServerEvidence::invalidateInFlight()
{
    for (auto &[key, attempt] : m_inFlight) {
        attempt.valid = false;
    }
}

void ServerEvidence::beginTrial()
{
    resetTests();
    for (auto &[key, attempt] : m_inFlight) {
        attempt.valid = false;
        attempt.inTrial = false;
    }
    m_trialScores.fill(0);
    m_trialSuccesses = 0;
    m_trialCompared = false;
    m_trialRefusals = 0;
    m_trialRunning = true;
}

std::optional<bool> ServerEvidence::trialVerdict(base::TimePoint now, const ServiceReference &usual) const
{
    Scores all = m_trialScores;
    addInFlight(all, true, now, usual);
    const double worst = *std::max_element(all.begin(), all.end());
    if (worst >= trialReject || m_trialRefusals >= trialMaxRefusals) {
        return false;
    }
    const double decisive = m_trialCompared ? worst : all[FailureTest];
    if (m_trialSuccesses >= trialSuccesses && decisive <= trialAccept) {
        return true;
    }
    return std::nullopt;
}

std::size_t ServerEvidence::inFlight() const
{
    return m_inFlight.size();
}

std::size_t ServerEvidence::trialInFlight() const
{
    return static_cast<std::size_t>(
        std::count_if(m_inFlight.begin(), m_inFlight.end(), [](const auto &entry) { return entry.second.inTrial; }));
}

std::optional<base::TimePoint> ServerEvidence::lastFinished() const
{
    return m_lastFinished;
}

double ServerEvidence::requestsPerSecond(base::TimePoint now) const
{
    return m_rate * std::exp(-seconds(now - m_rateUpdated) / seconds(rateWindow));
}

base::Duration ServerEvidence::recentLatency() const
{
    return m_recent.median();
}

double ServerEvidence::failureShare() const
{
    return m_failureShare;
}

const std::unordered_map<std::uint32_t, RollingMedian> &ServerEvidence::routes() const
{
    return m_routes;
}

const LatencyHistogram &ServerEvidence::histogram() const
{
    return m_histogram;
}

void ServerEvidence::setLearning(bool learning)
{
    m_learning = learning;
}

}
