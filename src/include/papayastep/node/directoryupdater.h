#pragma once

#include "papayastep/membership/directoryrelay.h"
#include "papayastep/membership/directoryschedule.h"
#include "papayastep/membership/missingrevisiontimer.h"
#include "papayastep/membership/serverdirectory.h"
#include "papayastep/net/serversource.h"
#include "papayastep/node/nodecontext.h"

#include <functional>

namespace papayastep::node {

/// Keeps membership::ServerDirectory up to date: lists once, then watches, or lets the readers of a
/// membership::DirectoryRelay tell; lists again when the platform has forgotten the changes in between.
class DirectoryUpdater
{
public:
    DirectoryUpdater(NodeContext &context, membership::ServerDirectory &directory, net::ServerSource &source);

    /// `answered` is called after each answer, with the newest published revision and whether the servers changed.
    void start(std::function<void(base::Revision published, bool changed)> answered);
    void stop();

    /// The VMs that are there and not about to leave.
    void applyVms(const std::vector<base::VmId> &present);
    /// What a reader says.
    void receive(const membership::DirectoryNews &message);
    /// Passes on what is due. Call after nextTick().
    void sendUpdates();
    std::optional<base::TimePoint> nextTick() const;

    /// When the platform was last asked for an answer that came.
    base::TimePoint lastRequestedAt() const;

private:
    net::Awaitable<void> loop();
    net::Awaitable<void> readOnce();
    bool isCovered() const;
    void requestMissingRevision();
    net::Awaitable<void> pause(base::Duration duration);

    NodeContext &m_context;
    membership::ServerDirectory &m_directory;
    net::ServerSource &m_source;
    std::function<void(base::Revision, bool)> m_onAnswer;
    membership::DirectoryRelay m_relay;
    membership::DirectorySchedule m_schedule;
    base::TimePoint m_lastRequestedAt;
    membership::MissingRevisionTimer m_revisionPatience; ///< With what readers tell of.
    bool m_stopped = false;
};

}
