#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

namespace papayastep::net {

/// Bounds of the requests of one connection that are handled concurrently.
struct PipelineBounds
{
    std::size_t requests = 1;
    std::size_t bytes = 0; ///< Of answers that wait for their turn.
};

/// Properties of a request that decide which others may be handled at the same time.
struct PipelinedRequest
{
    bool isSafe = false; ///< Whether it has a safe method and no body.
    bool isLast = false; ///< Whether its answer ends the connection, as after `Connection: close`.
};

/// Decides which requests of a connection are started, which one may be answered, and which answer closes the
/// connection. It is meant for callers that send many short, safe requests without waiting for the answers, where one
/// slow request would otherwise delay the runs of all later ones.
class PipelineWindow
{
public:
    using Number = std::uint64_t;

    void setBounds(const PipelineBounds &bounds);

    /// Returns whether the next request may be read.
    bool mayRead() const;
    bool mayStart(bool isSafe) const;
    /// Returns whether a bound, rather than the kind of an open request, prevents further reading.
    bool isAtBound() const;

    Number start(const PipelinedRequest &request);
    bool isFirst(Number number) const;
    /// Records the size of a complete answer that waits for its turn.
    void addWaiting(Number number, std::size_t bytes);

    /// Starts no further request behind the open ones.
    void end();
    /// Starts no further request at all, since the connection is cut off.
    void abort();
    /// Decides whether the answer of the first request carries `Connection: close`. A caller takes each request behind
    /// such an answer as not run, so only the answer to the last started request may carry it, and nothing is started
    /// after it. With `wantsClose`, the connection ends with the requests that have been started.
    bool closesWithFirst(bool wantsClose);
    /// Removes the first request, which has been answered.
    void finishFirst();

    std::size_t openCount() const;
    std::size_t waitingBytes() const;
    bool isClosed() const;

private:
    struct Entry
    {
        bool isSafe = false;
        std::size_t waitingBytes = 0;
    };

    PipelineBounds m_bounds;
    std::deque<Entry> m_open;
    Number m_first = 0;
    std::size_t m_unsafe = 0;
    std::size_t m_waitingBytes = 0;
    bool m_ending = false;
    bool m_closed = false;
};

}
