#include "papayastep/base/logoutput.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <climits>
#include <cstdio>
#include <ctime>
#include <poll.h>
#include <unistd.h>

namespace papayastep::base {

namespace {

/// Buffer size from which lines are written without waiting for flush(), so that a busy node makes one system call for
/// some ten lines.
constexpr std::size_t flushThresholdBytes = 2048;

/// In a flood, lines are dropped continuously, and one report per second is enough.
constexpr Duration reportInterval = std::chrono::seconds(1);

/// The letter of a severity, as glog writes it.
char severityLetter(google::LogSeverity severity)
{
    constexpr std::array marks{'I', 'W', 'E', 'F'};
    const auto index = static_cast<std::size_t>(std::clamp(severity, 0, static_cast<int>(marks.size()) - 1));
    return marks[index];
}

std::string timestamp(WallTime time)
{
    const auto sinceEpoch = time.time_since_epoch();
    const auto seconds = std::chrono::floor<std::chrono::seconds>(sinceEpoch);
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch - seconds).count();
    const std::time_t whole = seconds.count();
    std::tm parts{};
    gmtime_r(&whole, &parts);
    char text[64];
    const std::size_t length = std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text + length, sizeof(text) - length, ".%06dZ", static_cast<int>(micros));
    return text;
}

/// Whether a write of at most PIPE_BUF bytes would not block. Linux reports a pipe with a free page as writable.
bool isWritable(int descriptor)
{
    pollfd asked{descriptor, POLLOUT, 0};
    return poll(&asked, 1, 0) > 0 && (asked.revents & POLLOUT) != 0;
}

}

LogBudget::LogBudget(const LogLimits &limits, TimePoint now)
    : m_limits(limits)
    , m_level(limits.burstBytes)
    , m_updated(now)
{
}

bool LogBudget::take(google::LogSeverity severity, std::size_t bytes, TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - m_updated).count();
    m_updated = now;
    m_level = std::min(m_limits.burstBytes, m_level + std::max(0.0, elapsed) * m_limits.bytesPerSecond);
    const double reserved = severity >= google::GLOG_ERROR ? 0
        : severity == google::GLOG_WARNING                 ? m_limits.reservedForErrors
                                                           : m_limits.reservedForWarnings;
    if (m_level - static_cast<double>(bytes) < reserved * m_limits.burstBytes) {
        return false;
    }
    m_level -= static_cast<double>(bytes);
    return true;
}

LogOutput::LogOutput(int descriptor, const Clock &clock, const LogLimits &limits)
    : m_descriptor(descriptor)
    , m_clock(clock)
    , m_limits(limits)
    , m_budget(limits, clock.now())
{
}

LogOutput::~LogOutput()
{
    if (m_installed) {
        google::RemoveLogSink(this);
    }
    flush();
}

void LogOutput::install()
{
    FLAGS_logtostderr = false;
    FLAGS_stderrthreshold = google::NUM_SEVERITIES;
    for (google::LogSeverity severity = 0; severity < google::NUM_SEVERITIES; ++severity) {
        google::SetLogDestination(severity, "");
    }
    google::AddLogSink(this);
    m_installed = true;
}

void LogOutput::send(google::LogSeverity severity,
                     const char *,
                     const char *,
                     int,
                     const google::LogMessageTime &,
                     const char *message,
                     std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    add(severity, std::string_view(message, bytes));
    if (m_buffer.size() >= flushThresholdBytes) {
        writeReady();
    }
}

void LogOutput::flush()
{
    const std::lock_guard lock(m_mutex);
    logDropped();
    writeReady();
}

LogOutput::Counters LogOutput::counters() const
{
    const std::lock_guard lock(m_mutex);
    return m_counters;
}

void LogOutput::add(google::LogSeverity severity, std::string_view message)
{
    std::string line = timestamp(m_clock.wallNow()) + ' ' + severityLetter(severity) + ' ';
    // A field may contain text from a caller, in which a line break would start a new line of the log.
    std::replace_copy_if(
        message.begin(), message.end(), std::back_inserter(line), [](char c) { return c == '\n' || c == '\r'; }, ' ');
    line += '\n';
    const bool fits = m_buffer.size() + line.size() <= m_limits.bufferBytes;
    if (m_broken || !fits || !m_budget.take(severity, line.size(), m_clock.now())) {
        ++m_counters.dropped;
        return;
    }
    ++m_counters.written;
    m_counters.bytes += line.size();
    m_buffer += line;
}

void LogOutput::logDropped()
{
    const std::uint64_t unreported = m_counters.dropped - m_reportedDropped;
    // Dropped lines are reported only when the reader keeps up again, since until then the report itself would displace
    // other lines.
    const TimePoint now = m_clock.now();
    if (unreported == 0 || m_broken || m_buffer.size() >= flushThresholdBytes || now < m_nextReport) {
        return;
    }
    m_reportedDropped = m_counters.dropped;
    m_nextReport = now + reportInterval;
    add(google::GLOG_ERROR, "log: Dropped lines. count=" + std::to_string(unreported));
}

void LogOutput::writeReady()
{
    std::size_t done = 0;
    while (!m_broken && done < m_buffer.size() && isWritable(m_descriptor)) {
        const std::size_t part = std::min<std::size_t>(m_buffer.size() - done, PIPE_BUF);
        const ssize_t written = write(m_descriptor, m_buffer.data() + done, part);
        if (written > 0) {
            done += static_cast<std::size_t>(written);
        } else if (errno != EINTR) {
            m_broken = errno != EAGAIN;
            break;
        }
    }
    m_buffer.erase(0, done);
}

}
