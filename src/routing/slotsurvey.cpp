#include "papayastep/routing/slotsurvey.h"

#include <algorithm>
#include <limits>
#include <ostream>

namespace papayastep::routing {

namespace {

using base::ResultCode;

/// Time for which a node that did not answer is asked last. Network cuts and pauses last seconds, but a node that was
/// busy only for a moment must not stay without work.
constexpr base::Duration silenceMemory = std::chrono::seconds(1);
/// Time after which a recorded idle time is outdated, as another entry has certainly sent the server a request.
constexpr base::Duration idleMemory = std::chrono::seconds(1);

/// Cost of leaving the zone that outweighs all other costs.
constexpr double prohibitiveZoneCost = 100;

bool isFull(const SlotQuote &quote)
{
    return quote.code == ResultCode::HopQueueTimeout || quote.code == ResultCode::HopQueueFull
        || quote.code == ResultCode::HopBackendServerLimited;
}

}

std::ostream &operator<<(std::ostream &stream, const SurveyTally &tally)
{
    stream << "asked:" << tally.asked;
    const auto add = [&stream](const char *name, std::size_t count) {
        if (count > 0) {
            stream << ',' << name << ':' << count;
        }
    };
    add("free", tally.free);
    add("full", tally.full);
    add("held", tally.held);
    add("silent", tally.silent);
    if (tally.soonest) {
        stream << ",soonestMs:" << std::chrono::duration_cast<std::chrono::milliseconds>(*tally.soonest).count();
    }
    return stream;
}

SlotSurvey::SlotSurvey(const PlacementPolicy &policy,
                       std::vector<Candidate> candidates,
                       PlacementRequest request,
                       const SlotSurveySettings &settings)
    : m_policy(policy)
    , m_candidates(std::move(candidates))
    , m_request(std::move(request))
    , m_settings(settings)
    , m_quotes(m_candidates.size())
{
}

void SlotSurvey::recordQuote(const base::BackendServerId &server, const SlotQuote &quote)
{
    const auto found = std::find_if(m_pending.begin(), m_pending.end(), [&](const auto &entry) {
        return m_candidates[entry.first].server == server;
    });
    if (found == m_pending.end()) {
        return;
    }
    const std::size_t index = found->first;
    m_pending.erase(found);
    m_quotes[index] = quote;
    m_candidates[index].quotedTime = quote.wait + quote.run;
    m_candidates[index].failureRisk = quote.failureRisk;
    m_candidates[index].idle = quote.idle;
}

SurveyStep SlotSurvey::next(base::TimePoint now, std::mt19937_64 &random)
{
    if (m_waiting) {
        if (const auto index = immediateChoice()) {
            return take(*index);
        }
        if (!m_graceBegan && best(base::Duration::zero())) {
            m_graceBegan = true;
            m_waveEnds = std::min(m_waveEnds, now + m_settings.graceAfterAnswer);
        }
        const bool complete = std::none_of(
            m_pending.begin(), m_pending.end(), [&](const auto &entry) { return entry.second == m_waveBegan; });
        if (!complete && now < m_waveEnds) {
            SurveyStep wait;
            wait.until = m_waveEnds;
            return wait;
        }
        m_waiting = false;
    }
    if (const auto free = best(base::Duration::zero())) {
        return take(*free);
    }
    const auto queued = best(base::Duration::max());
    if (queued && m_waves >= m_settings.wavesForFreeSlot) {
        return take(*queued);
    }
    SurveyStep step;
    step.kind = SurveyStep::Kind::Ask;
    step.ask = nextWave(now, random);
    if (!step.ask.empty()) {
        m_waiting = true;
        m_graceBegan = false;
        m_waveBegan = now;
        m_waveEnds = now + m_settings.waveTimeout;
        step.until = m_waveEnds;
        return step;
    }
    return queued ? take(*queued) : giveUp();
}

const Candidate &SlotSurvey::candidate(std::size_t index) const
{
    return m_candidates[index];
}

std::vector<std::size_t> SlotSurvey::silent(base::TimePoint now) const
{
    std::vector<std::size_t> found;
    for (const auto &[index, since] : m_pending) {
        if (now - since >= m_settings.waveTimeout) {
            found.push_back(index);
        }
    }
    return found;
}

std::size_t SlotSurvey::asked() const
{
    return m_asked;
}

SurveyTally SlotSurvey::tally() const
{
    SurveyTally tally;
    tally.asked = m_asked;
    tally.silent = m_pending.size();
    for (const auto &quote : m_quotes) {
        if (!quote) {
            continue;
        }
        if (quote->held) {
            ++tally.held;
            continue;
        }
        tally.free += quote->code == ResultCode::Ok ? 1 : 0;
        tally.full += isFull(*quote) ? 1 : 0;
        if (quote->code == ResultCode::Ok || isFull(*quote)) {
            tally.soonest = std::min(tally.soonest.value_or(quote->wait), quote->wait);
        }
    }
    return tally;
}

/// Returns the servers that the policy would choose one after the other.
std::vector<std::size_t> SlotSurvey::nextWave(base::TimePoint now, std::mt19937_64 &random)
{
    const std::size_t size = m_waves == 0 ? m_settings.firstWave : m_settings.laterWave;
    const std::size_t maxAsked = m_request.isRepeat ? m_settings.maxAskedForRepeat : m_settings.maxAsked;
    const std::optional<double> zoneCost = m_request.zoneCost;
    if (m_waves == 0 && m_settings.ownZoneFirst) {
        m_request.zoneCost = prohibitiveZoneCost;
    }
    std::vector<std::size_t> wave;
    while (wave.size() < size && m_asked < maxAsked) {
        const Placement placement = m_policy.place(m_candidates, m_request, random);
        if (!placement.candidate) {
            break;
        }
        open(*placement.candidate, now, wave);
        const auto alike = m_waves == 0 ? similarCostServer(*placement.candidate, random) : std::nullopt;
        if (alike && wave.size() < size) {
            open(*alike, now, wave);
        }
    }
    m_request.zoneCost = zoneCost;
    ++m_waves;
    return wave;
}

void SlotSurvey::open(std::size_t index, base::TimePoint now, std::vector<std::size_t> &wave)
{
    wave.push_back(index);
    m_pending.emplace(index, now);
    m_request.tried.push_back(m_candidates[index].server);
    ++m_asked;
}

/// Draws a server that would cost about as much as `best`, with equal probabilities.
std::optional<std::size_t> SlotSurvey::similarCostServer(std::size_t best, std::mt19937_64 &random) const
{
    const double most = costOf(best) + m_settings.explorationTolerance;
    std::vector<std::size_t> alike;
    for (std::size_t index = 0; index < m_candidates.size(); ++index) {
        const Candidate &candidate = m_candidates[index];
        const bool isTried
            = std::find(m_request.tried.begin(), m_request.tried.end(), candidate.server) != m_request.tried.end();
        if (!isTried && !candidate.drained && candidate.usable && candidate.pathUsable && costOf(index) <= most) {
            alike.push_back(index);
        }
    }
    if (alike.empty()) {
        return std::nullopt;
    }
    return alike[std::uniform_int_distribution<std::size_t>(0, alike.size() - 1)(random)];
}

/// Returns the server of the least cost among those that would accept the request after at most `longestWait`. With
/// `held`, only servers that are held back and worth trying are considered; otherwise only the others.
std::optional<std::size_t> SlotSurvey::best(base::Duration longestWait, bool held) const
{
    std::optional<std::size_t> found;
    double leastCost = std::numeric_limits<double>::max();
    for (std::size_t index = 0; index < m_quotes.size(); ++index) {
        const auto &quote = m_quotes[index];
        if (!quote || quote->held != held || quote->code != ResultCode::Ok || quote->wait > longestWait) {
            continue;
        }
        if (held && !m_grayPolicy.isWorthTrying(quote->failureRisk, m_request.idempotent)) {
            continue;
        }
        const double cost = costOf(index);
        if (cost < leastCost) {
            found = index;
            leastCost = cost;
        }
    }
    return found;
}

/// Returns a free server to which no pending answer can be preferred by much.
std::optional<std::size_t> SlotSurvey::immediateChoice() const
{
    const auto free = best(base::Duration::zero());
    if (!free) {
        return std::nullopt;
    }
    const double cost = costOf(*free);
    const bool canBeBeaten = std::any_of(m_pending.begin(), m_pending.end(), [&](const auto &entry) {
        return entry.second == m_waveBegan && costOf(entry.first) + m_settings.minSavingToWait < cost;
    });
    return canBeBeaten ? std::nullopt : free;
}

double SlotSurvey::costOf(std::size_t index) const
{
    return m_policy.cost(m_candidates[index], m_request);
}

SurveyStep SlotSurvey::take(std::size_t index, bool lastResort) const
{
    SurveyStep step;
    step.kind = SurveyStep::Kind::Take;
    step.candidate = index;
    step.lastResort = lastResort;
    return step;
}

bool SlotSurvey::mayTryHeldServer() const
{
    if (m_request.idempotent || m_settings.riskyLastResort) {
        return true;
    }
    const auto answers
        = std::count_if(m_quotes.begin(), m_quotes.end(), [](const auto &quote) { return quote.has_value(); });
    return 4 * tally().held > 3 * static_cast<std::size_t>(answers);
}

/// Ends a survey in which no server would accept the request. A server that is held back as gray but may still answer
/// is better than a refusal; a full one would only make the request late.
SurveyStep SlotSurvey::giveUp() const
{
    const auto held = mayTryHeldServer() ? best(base::Duration::max(), true) : std::nullopt;
    if (held) {
        return take(*held, true);
    }
    SurveyStep refusal;
    refusal.kind = SurveyStep::Kind::Refuse;
    refusal.code = m_asked > 0 ? ResultCode::HopUnacknowledged : ResultCode::NoBackendServer;
    base::Duration soonest = base::Duration::max();
    for (const auto &quote : m_quotes) {
        if (!quote) {
            continue;
        }
        if (quote->code == ResultCode::RetryBudgetSpent && soonest == base::Duration::max()) {
            refusal.code = quote->code;
        } else if (quote->held && soonest == base::Duration::max()) {
            refusal.code = ResultCode::HopBackendServerEjected;
        } else if (!quote->held && isFull(*quote) && quote->wait < soonest) {
            soonest = quote->wait;
            refusal.code = quote->code;
            refusal.retryAfter = quote->wait;
        }
    }
    return refusal;
}

SilentNodes::SilentNodes(const base::Clock &clock)
    : m_clock(clock)
{
}

bool SilentNodes::markSilent(const base::VmId &vm)
{
    return m_since.insert_or_assign(vm, m_clock.now()).second;
}

bool SilentNodes::markResponsive(const base::VmId &vm)
{
    return m_since.erase(vm) > 0;
}

bool SilentNodes::isSilent(const base::VmId &vm) const
{
    const auto found = m_since.find(vm);
    return found != m_since.end() && m_clock.now() - found->second < silenceMemory;
}

ServerIdleTimes::ServerIdleTimes(const base::Clock &clock)
    : m_clock(clock)
{
}

void ServerIdleTimes::record(const base::BackendServerId &server, base::Duration idle)
{
    m_reports[server] = IdleReport{idle, m_clock.now()};
}

base::Duration ServerIdleTimes::idle(const base::BackendServerId &server) const
{
    const auto found = m_reports.find(server);
    const bool isFresh = found != m_reports.end() && m_clock.now() - found->second.receivedAt < idleMemory;
    return isFresh ? found->second.idle : base::Duration::zero();
}

void ServerIdleTimes::expire()
{
    std::erase_if(m_reports, [&](const auto &entry) { return m_clock.now() - entry.second.receivedAt >= idleMemory; });
}

}
