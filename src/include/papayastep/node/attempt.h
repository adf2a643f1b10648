#pragma once

#include "papayastep/node/nodecontext.h"
#include "papayastep/node/servedanswer.h"
#include "papayastep/routing/attemptregistry.h"

#include <functional>
#include <memory>
#include <optional>

namespace papayastep::node {

class ServingNode;

/// One attempt as its entry sees it. Runs by itself once started; the entry looks at it whenever it is told of a
/// change. Always held by a shared_ptr, since it may outlive the entry's interest in it.
class Attempt : public std::enable_shared_from_this<Attempt>
{
public:
    Attempt(NodeContext &context, wire::HopRequest hop, base::VmId vm);
    virtual ~Attempt() = default;

    /// Sends `request`. `changed` is called on each change until detach().
    virtual void start(net::ClientRequest request, std::function<void()> changed) = 0;

    /// The entry no longer wants the answer.
    virtual void abandon() = 0;

    /// Asks the serving node not to start the attempt, and to say whether it has; with `stop`, also to stop it.
    virtual void requestCancel(bool stop) = 0;

    /// No more calls of `changed`.
    void detach();

    /// The answer to requestCancel(), when it comes.
    void cancelAnswered(routing::CancelAnswer answer);

    const wire::HopRequest &hop() const;
    const base::VmId &vm() const;
    base::TimePoint startedAt() const;
    bool acknowledged() const;
    bool reportedHanging() const; ///< Its serving node says that it seems to hang.
    bool finished() const; ///< answer() is there, or the link failed.
    bool hopFailed() const; ///< No valid answer came over the hop.
    bool neverSent() const; ///< With hopFailed(): not a byte was written.
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

/// An attempt at a backend server of this VM: no hop, no path.
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

/// An attempt at a backend server of another VM. Tells the health monitor what it sees of the path.
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
