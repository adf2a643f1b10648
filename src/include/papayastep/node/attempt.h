#pragma once

#include "papayastep/node/nodecontext.h"
#include "papayastep/node/servedanswer.h"
#include "papayastep/routing/attemptregistry.h"

#include <functional>
#include <memory>
#include <optional>

namespace papayastep::node {

class ServingNode;

/// One attempt from the point of view of the entry node. It runs independently once it is started; the entry checks it
/// after each change notification. It is always owned by a shared_ptr, because it may outlive the request at the entry.
class Attempt : public std::enable_shared_from_this<Attempt>
{
public:
    Attempt(NodeContext &context, wire::HopRequest hop, base::VmId vm);
    virtual ~Attempt() = default;

    /// Sends `request`. `changed` is called on each change until detach() is called.
    virtual void start(net::ClientRequest request, std::function<void()> changed) = 0;

    /// Abandons the attempt because the entry no longer needs the answer.
    virtual void abandon() = 0;

    /// Asks the serving node not to start the attempt and to report whether it has started it. With `stop`, the serving
    /// node also stops an attempt that is running.
    virtual void requestCancel(bool stop) = 0;

    /// Stops the calls of `changed`.
    void detach();

    /// Takes the answer to requestCancel().
    void cancelAnswered(routing::CancelAnswer answer);

    const wire::HopRequest &hop() const;
    const base::VmId &vm() const;
    base::TimePoint startedAt() const;
    bool acknowledged() const;
    bool reportedHanging() const; ///< The serving node reports that the attempt seems to hang.
    bool finished() const; ///< answer() is available, or the hop failed.
    bool hopFailed() const; ///< No valid answer was received over the hop.
    bool neverSent() const; ///< Valid with hopFailed(): no byte was written.
    std::optional<routing::CancelAnswer> cancelAnswer() const;
    ServedAnswer &answer();

protected:
    void notifyChanged();

    NodeContext &m_context;
    wire::HopRequest m_hop;
    base::VmId m_vm;
    base::TimePoint m_startedAt;
    std::function<void()> m_onChange;
    ServedAnswer m_answer;
    std::optional<routing::CancelAnswer> m_cancelAnswer;
    bool m_acknowledged = false;
    bool m_reportedHanging = false;
    bool m_finished = false;
    bool m_hopFailed = false;
    bool m_neverSent = false;
};

using AttemptPtr = std::shared_ptr<Attempt>;

/// An attempt at a backend server of this VM, which needs no hop and no network path.
class LocalAttempt final : public Attempt
{
public:
    LocalAttempt(NodeContext &context, wire::HopRequest hop, ServingNode &serving);

    void start(net::ClientRequest request, std::function<void()> changed) override;
    void abandon() override;
    void requestCancel(bool stop) override;

private:
    ServingNode &m_serving;
};

/// An attempt at a backend server of another VM. It reports the outcomes of the hop to the health monitor.
class RemoteAttempt final : public Attempt
{
public:
    RemoteAttempt(NodeContext &context, wire::HopRequest hop, base::VmId vm, const net::Endpoint &endpoint);

    void start(net::ClientRequest request, std::function<void()> changed) override;
    void abandon() override;
    void requestCancel(bool stop) override;

private:
    net::Awaitable<void> run(net::ClientRequest request);
    void readAnswer();
    void reportHopEnd(health::HopOutcome outcome);

    std::shared_ptr<net::HttpExchange> m_exchange;
    bool m_abandoned = false;
    bool m_hopEndReported = false;
};

}
