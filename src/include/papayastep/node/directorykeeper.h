#pragma once

#include "papayastep/membership/serverdirectory.h"
#include "papayastep/net/serversource.h"
#include "papayastep/node/nodecontext.h"

#include <functional>

namespace papayastep::node {

/// Keeps membership::ServerDirectory up to date: lists once, then watches; lists again when the platform has forgotten
/// the changes in between.
class DirectoryKeeper
{
public:
    DirectoryKeeper(NodeContext &context, membership::ServerDirectory &directory, net::ServerSource &source);

    /// `answered` is called after each answer, with the newest published revision and whether the servers changed.
    void start(std::function<void(base::Revision published, bool changed)> answered);
    void stop();

    /// When the platform was last asked for an answer that came.
    base::TimePoint askedAt() const;

private:
    net::Awaitable<void> loop();
    net::Awaitable<void> readOnce();
    net::Awaitable<void> pause(base::Duration duration);
    base::Duration backoff();

    NodeContext &m_context;
    membership::ServerDirectory &m_directory;
    net::ServerSource &m_source;
    std::function<void(base::Revision, bool)> m_answered;
    base::TimePoint m_askedAt;
    int m_failures = 0; ///< In a row.
    bool m_historyGone = false;
    bool m_stopped = false;
};

}
