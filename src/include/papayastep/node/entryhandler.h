#pragma once

#include "papayastep/net/httpserver.h"
#include "papayastep/node/nodecontext.h"
#include "papayastep/node/servingnode.h"

#include <functional>
#include <unordered_map>

namespace papayastep::node {

class EntryRequest;

/// The entry side of a node: accepts the requests of callers and is responsible for their answers.
class EntryHandler final : public net::RequestHandler
{
public:
    EntryHandler(NodeContext &context, ServingNode &serving);

    net::Awaitable<void> handle(net::ServerExchange &exchange) override;
    net::WholeAnswer refusal(base::ResultCode code, const std::string &detail) override;

    // These functions deliver asynchronous decisions to open requests. Decisions for requests that have ended are
    // dropped; a token in such a decision is given back.
    void deliver(const limits::AdmissionDecision &decision);
    void deliver(const routing::LedgerDecision &decision);
    /// Reports that the home of the idempotency key has recorded the end of this request.
    void deliver(const base::RequestId &recorded);
    /// Returns what an answer of the sending process proves about an attempt that was sent at `sentAt`.
    using CancelAnswerVerifier
        = std::function<routing::CancelAnswer(routing::CancelAnswer answer, base::TimePoint sentAt)>;
    void deliver(const wire::CancelResult &result, const CancelAnswerVerifier &proven);
    void deliver(const wire::SlotOffer &offer);

    /// Ends all open requests as if their deadlines had passed, so that each caller gets an answer.
    void expireAll();

    std::size_t openRequests() const;

private:
    friend class EntryRequest;

    NodeContext &m_context;
    ServingNode &m_serving;
    std::unordered_map<base::RequestId, EntryRequest *> m_openRequests;
};

}
