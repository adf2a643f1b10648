#include "papayastep/routing/serveradmission.h"

namespace papayastep::routing {

namespace {

/// Interval of the probes while a server is down, or a restart is suspected, and no probe is answered.
constexpr base::Duration probeInterval = std::chrono::milliseconds(500);

}

ServerAdmission::ServerAdmission(const base::Clock &clock,
                                 const config::BackendServer &server,
                                 const ServerAdmissionSettings &settings)
    : m_clock(clock)
    , m_server(server)
    , m_announcements(clock, server.incarnation)
    , m_queue(clock, server.slots, settings.queue)
    , m_hold(clock.now(), settings.recovery)
    , m_retryBudget(clock)
{
    // The server may have been started together with this node.
    m_queue.coldStart().suspectRestart();
    if (server.coldUntil > clock.now()) {
        m_queue.coldStart().setColdUntil(server.coldUntil);
    }
}

void ServerAdmission::configure(const config::BackendServer *server,
                                const config::ColdStart &coldStart,
                                bool canBeProbed)
{
    m_canBeProbed = canBeProbed;
    const config::BackendServer before = m_server;
    m_removed = server == nullptr;
    if (server != nullptr) {
        m_server = *server;
        m_queue.setSlots(server->slots);
        m_queue.coldStart().setColdStart(coldStart);
        if (m_server.incarnation != before.incarnation) {
            m_announcements.restart(m_server.incarnation);
            applyAnnouncements();
        }
        // The servers of an availability zone may have been restarted while it was evacuated.
        if (m_server.incarnation != before.incarnation || (before.evacuated && !m_server.evacuated)) {
            m_queue.coldStart().suspectRestart();
            m_isDown = false;
        }
        // An entry without a new report is older than the result of a probe.
        const bool isNewReport = m_server.coldUntil != before.coldUntil;
        if (isNewReport && m_server.coldUntil > m_clock.now()) {
            m_queue.coldStart().setColdUntil(m_server.coldUntil);
        }
    }
    if (const auto code = refusalCode()) {
        m_queue.dropQueued(*code);
    }
}

const config::BackendServer &ServerAdmission::server() const
{
    return m_server;
}

bool ServerAdmission::isUnused() const
{
    return m_removed && m_queue.isIdle();
}

bool ServerAdmission::isDown() const
{
    return m_isDown;
}

std::optional<base::ResultCode> ServerAdmission::refusalCode() const
{
    if (m_removed || m_server.drain || announced().isLeaving) {
        return base::ResultCode::HopBackendServerGone;
    }
    if (m_server.evacuated) {
        return base::ResultCode::HopZoneEvacuated;
    }
    return m_isDown && m_canBeProbed ? std::optional(base::ResultCode::HopBackendServerRefused) : std::nullopt;
}

bool ServerAdmission::isHeldBack(bool idempotent) const
{
    return !m_hold.admits(idempotent, m_clock.now());
}

std::uint8_t ServerAdmission::grayPercent() const
{
    return static_cast<std::uint8_t>(100 * m_hold.grayProbability(m_clock.now()));
}

void ServerAdmission::recordEnd(health::AttemptOutcome outcome, bool answered)
{
    if (outcome == health::AttemptOutcome::CancelledByUs) {
        return; // This includes the answer of another server at the same address.
    }
    if (answered) {
        m_isDown = false;
        m_queue.coldStart().recordAnswer();
    } else if (outcome != health::AttemptOutcome::ConnectionRefused) {
        m_queue.coldStart().recordLostAttempt();
    }
}

void ServerAdmission::recordConnectionFailure()
{
    m_queue.coldStart().suspectRestart();
    m_isDown = true;
    if (const auto code = refusalCode()) {
        m_queue.dropQueued(*code);
    }
}

void ServerAdmission::recordPause()
{
    m_queue.coldStart().suspectRestart();
}

void ServerAdmission::recordProbe(bool answered, std::optional<base::Duration> coldTime)
{
    if (!answered) {
        return;
    }
    m_isDown = false;
    if (coldTime) {
        m_queue.coldStart().setColdUntil(m_clock.now() + *coldTime);
    } else {
        m_queue.coldStart().recordAnswer();
    }
}

void ServerAdmission::recordAnnouncement(const ServerAnnouncement &announcement, const AnnouncementSource &source)
{
    m_announcements.record(announcement, source);
    applyAnnouncements();
}

void ServerAdmission::adopt(const ServerNotice &notice)
{
    m_announcements.adopt(notice);
    applyAnnouncements();
}

void ServerAdmission::expireAnnouncements()
{
    m_announcements.expire();
}

const AnnouncedState &ServerAdmission::announced() const
{
    return m_announcements.inForce();
}

void ServerAdmission::applyAnnouncements()
{
    if (announced().requestsPerSecond != m_queue.startRate().rate()) {
        m_queue.limitStarts(announced().requestsPerSecond);
    }
    if (announced().isLeaving) {
        m_queue.dropQueued(base::ResultCode::HopBackendServerGone);
    }
}

bool ServerAdmission::takeEjectionProbe()
{
    if (m_queue.startRate().wait(0) > base::Duration::zero()) {
        return false;
    }
    m_queue.startRate().recordStart();
    return true;
}

bool ServerAdmission::takeProbeDue()
{
    const auto due = nextProbe();
    if (!due || m_clock.now() < *due) {
        return false;
    }
    m_probedAt = m_clock.now();
    m_queue.coldStart().recordStart();
    m_queue.startRate().recordStart();
    return true;
}

std::optional<base::TimePoint> ServerAdmission::nextProbe() const
{
    const bool isNeeded = m_isDown || m_queue.coldStart().isUnverified();
    if (!isNeeded || !m_canBeProbed || m_removed || !m_server.acceptsRequests() || announced().isLeaving) {
        return std::nullopt;
    }
    return m_probedAt ? *m_probedAt + probeInterval : m_clock.now();
}

limits::SlotQueue &ServerAdmission::queue()
{
    return m_queue;
}

const limits::SlotQueue &ServerAdmission::queue() const
{
    return m_queue;
}

health::ServerHold &ServerAdmission::hold()
{
    return m_hold;
}

const health::ServerHold &ServerAdmission::hold() const
{
    return m_hold;
}

RetryBudget &ServerAdmission::retryBudget()
{
    return m_retryBudget;
}

const RetryBudget &ServerAdmission::retryBudget() const
{
    return m_retryBudget;
}

}
