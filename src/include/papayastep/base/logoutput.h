#pragma once

#include "papayastep/base/clock.h"

#include <glog/logging.h>

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace papayastep::base {

/// Limits of the log output of a process.
struct LogLimits
{
    /// Bytes that are buffered while the reader of standard output is slow. 40 lines per second for half a minute fit.
    std::size_t bufferBytes = 256 * 1024;
    /// Long-term average of the bytes that may be written per second. A node of the planned size (61 requests/s, three
    /// lines of some 200 bytes each) writes 37 KB/s.
    double bytesPerSecond = 64 * 1024;
    /// Bytes that may be written at once after a period without log lines.
    double burstBytes = 256 * 1024;
    /// Fractions of the burst that are reserved for warnings and for errors, so that a flood of routine lines can't
    /// displace the line that states why a request failed.
    double reservedForWarnings = 0.5;
    double reservedForErrors = 0.125;

    auto operator<=>(const LogLimits &) const = default;
};

/// A token bucket that decides which lines are written. Only the more important lines may use its last part.
class LogBudget
{
public:
    LogBudget(const LogLimits &limits, TimePoint now);

    /// Takes the bytes of a line from the bucket. Returns false if the line must be dropped.
    bool take(google::LogSeverity severity, std::size_t bytes, TimePoint now);

private:
    LogLimits m_limits;
    double m_level;
    TimePoint m_updated;
};

/// Writes the log lines of a process to standard output (or another descriptor), one line each, as
/// `2026-01-02T03:04:05.678901Z I PREFIX: Sentence. name=value ...`.
///
/// A reader that stops reading must not block the requests: a write to a full pipe blocks the thread, and a reader to
/// which all nodes log would block a whole fleet. So lines are collected in a bounded buffer, and flush() writes only
/// what the descriptor accepts without blocking. Lines that do not fit are dropped and counted, and a later line
/// reports their number.
class LogOutput final : public google::LogSink
{
public:
    struct Counters
    {
        std::uint64_t written = 0; ///< Number of lines written.
        std::uint64_t bytes = 0; ///< Number of bytes of these lines.
        std::uint64_t dropped = 0; ///< Number of lines dropped because of the budget or because the buffer was full.

        auto operator<=>(const Counters &) const = default;
    };

    LogOutput(int descriptor, const Clock &clock, const LogLimits &limits = {});
    /// Writes the buffered bytes that the descriptor accepts without blocking.
    ~LogOutput() override;

    /// Sends all log lines of the process to this output only.
    void install();

    void send(google::LogSeverity severity,
              const char *fullName,
              const char *baseName,
              int line,
              const google::LogMessageTime &time,
              const char *message,
              std::size_t bytes) override;
    using google::LogSink::send;

    /// Writes what the descriptor accepts without blocking. It is to be called after each batch of work.
    void flush();

    Counters counters() const;

private:
    void add(google::LogSeverity severity, std::string_view message);
    void logDropped();
    void writeReady();

    const int m_descriptor;
    const Clock &m_clock;
    const LogLimits m_limits;
    mutable std::mutex m_mutex; ///< Needed because the thread that builds configurations logs too.
    LogBudget m_budget;
    std::string m_buffer;
    Counters m_counters;
    std::uint64_t m_reportedDropped = 0; ///< Number of dropped lines that have been reported.
    TimePoint m_nextReport{};
    bool m_installed = false;
    bool m_broken = false; ///< Set when a write fails because the reader has gone.
};

}
