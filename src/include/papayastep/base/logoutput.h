#pragma once

#include "papayastep/base/clock.h"

#include <glog/logging.h>

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace papayastep::base {

/// How much a process may log.
struct LogLimits
{
    /// Held while the reader of standard output is slow. A page of 40 lines a second for half a minute fits.
    std::size_t bufferBytes = 256 * 1024;
    /// What may be written over a long time. A node of the planned size (61 requests/s, three lines of some 200 bytes
    /// each) writes 37 KB/s.
    double bytesPerSecond = 64 * 1024;
    /// What may be written at once after a quiet time.
    double burstBytes = 256 * 1024;
    /// Parts of the burst that are kept back for warnings and for errors, so that a flood of routine lines can't
    /// displace the line that says why a request failed.
    double reservedForWarnings = 0.5;
    double reservedForErrors = 0.125;

    auto operator<=>(const LogLimits &) const = default;
};

/// Decides which lines are written: a token bucket whose last part only the more important lines may use.
class LogBudget
{
public:
    LogBudget(const LogLimits &limits, TimePoint now);

    /// Takes the bytes of a line, or says that it must be dropped.
    bool take(google::LogSeverity severity, std::size_t bytes, TimePoint now);

private:
    LogLimits m_limits;
    double m_level;
    TimePoint m_updated;
};

/// Where the log lines of a process go: standard output (or another descriptor), one line each, as
/// `2026-01-02T03:04:05.678901Z I PREFIX: Sentence. name=value ...`.
///
/// A reader that stops reading must not stop the requests: a write to a full pipe blocks the thread, and one that all
/// nodes log to would hold up a whole fleet. So lines gather in a bounded buffer, and flush() writes only what the
/// descriptor takes at once. What does not fit is dropped, counted, and told in a later line.
class LogOutput final : public google::LogSink
{
public:
    struct Counters
    {
        std::uint64_t written = 0; ///< Lines.
        std::uint64_t bytes = 0; ///< Of these.
        std::uint64_t dropped = 0; ///< Lines, by the budget or for want of room in the buffer.

        auto operator<=>(const Counters &) const = default;
    };

    LogOutput(int descriptor, const Clock &clock, const LogLimits &limits = {});
    /// Writes what can still be written at once.
    ~LogOutput() override;

    /// Sends all lines of the process here, and nowhere else.
    void install();

    void send(google::LogSeverity severity,
              const char *fullName,
              const char *baseName,
              int line,
              const google::LogMessageTime &time,
              const char *message,
              std::size_t bytes) override;
    using google::LogSink::send;

    /// Writes what the descriptor takes without blocking. Call after each burst of work.
    void flush();

    Counters counters() const;

private:
    void add(google::LogSeverity severity, std::string_view message);
    void logDropped();
    void writeReady();

    const int m_descriptor;
    const Clock &m_clock;
    const LogLimits m_limits;
    mutable std::mutex m_mutex; ///< The thread that builds configurations logs too.
    LogBudget m_budget;
    std::string m_buffer;
    Counters m_counters;
    std::uint64_t m_reportedDropped = 0; ///< Of the dropped lines.
    TimePoint m_nextReport{};
    bool m_installed = false;
    bool m_broken = false; ///< The reader has gone.
};

}
