#pragma once

#include "papayastep/membership/directoryrelay.h"
#include "papayastep/membership/directoryschedule.h"
#include "papayastep/membership/missingrevisiontimer.h"
#include "papayastep/membership/serverdirectory.h"
#include "papayastep/net/serversource.h"
#include "papayastep/node/nodecontext.h"

#include <functional>

namespace papayastep::node {

/// Keeps membership::ServerDirectory up to date: lists the servers once, then watches the platform or receives the
/// updates from the readers of a membership::DirectoryRelay. It lists again if the platform no longer has the history
/// of the changes.
class DirectoryUpdater
{
public:
    DirectoryUpdater(NodeContext &context, membership::ServerDirectory &directory, net::ServerSource &source);

    /// Starts the update loop. `answered` is called after each answer, with the newest published revision and whether
    /// the servers have changed.
    void start(std::function<void(base::Revision published, bool changed)> answered);
    void stop();

    /// Sets the VMs that are present and not about to leave.
    void applyVms(const std::vector<base::VmId> &present);
    /// Takes a message from a reader.
    void receive(const membership::DirectoryNews &message);
    /// Sends the updates to peers that are due. Call it once the time of nextTick() has been reached.
    void sendUpdates();
    std::optional<base::TimePoint> nextTick() const;

    /// Time of the last request that the platform has answered.
    base::TimePoint lastRequestedAt() const;

private:
    net::Awaitable<void> loop();
    net::Awaitable<void> readOnce();
    net::Awaitable<void> applyChecked();
    void apply(const membership::DirectoryNews &message);
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
    membership::MissingRevisionTimer m_revisionPatience; ///< Waiting time for revisions that readers have announced.
    /// Messages from readers, from the first one that removes servers; they wait until the platform has answered.
    std::vector<membership::DirectoryNews> m_unchecked;
    bool m_stopped = false;
};

}
