#include "entryrequest.h"

#include "papayastep/node/entryhandler.h"
#include "papayastep/node/refusals.h"

namespace papayastep::node {

EntryHandler::EntryHandler(NodeContext &context, ServingNode &serving)
    : m_context(context)
    , m_serving(serving)
{
}

net::Awaitable<void> EntryHandler::handle(net::ServerExchange &exchange)
{
    EntryRequest request(*this, exchange);
    co_await request.run();
}

net::WholeAnswer EntryHandler::refusal(base::ResultCode code, const std::string &detail)
{
    m_context.metrics.countRequest({{}, false, routing::name(routing::Outcome::NotRun), code, {}});
    return m_context.callers().refusal(notRunRefusal(code), {}, detail);
}

void EntryHandler::deliver(const limits::AdmissionDecision &decision)
{
    const auto found = m_openRequests.find(decision.request);
    if (found != m_openRequests.end()) {
        found->second->admissionDecided(decision.admission);
        return;
    }
    // The caller disconnected while its request was waiting; its token is given back.
    if (const auto *admitted = std::get_if<limits::Admitted>(&decision.admission)) {
        m_context.tokens.giveBack(admitted->token);
    }
}

void EntryHandler::deliver(const routing::LedgerDecision &decision)
{
    const auto found = m_openRequests.find(decision.request);
    if (found != m_openRequests.end()) {
        found->second->ledgerDecided(decision.answer);
    } else if (decision.answer.verdict == routing::ClaimVerdict::Run) {
        m_context.ledgerClient.completeNotRun(decision.request);
    }
}

void EntryHandler::deliver(const base::RequestId &recorded)
{
    const auto found = m_openRequests.find(recorded);
    if (found != m_openRequests.end()) {
        found->second->ledgerRecorded();
    }
}

void EntryHandler::deliver(const wire::CancelResult &result, const CancelAnswerVerifier &proven)
{
    const auto found = m_openRequests.find({result.requestHigh, result.requestLow});
    const bool known = result.answer <= static_cast<std::uint8_t>(routing::CancelAnswer::Unconfirmed);
    if (found != m_openRequests.end() && known) {
        found->second->cancelAnswered(
            static_cast<int>(result.attempt), static_cast<routing::CancelAnswer>(result.answer), proven);
    }
}

void EntryHandler::deliver(const wire::SlotOffer &offer)
{
    const auto found = m_openRequests.find({offer.requestHigh, offer.requestLow});
    if (found != m_openRequests.end()) {
        found->second->slotOffered(offer);
    }
}

void EntryHandler::expireAll()
{
    for (const auto &[id, request] : m_openRequests) {
        request->expire();
    }
}

std::size_t EntryHandler::openRequests() const
{
    return m_openRequests.size();
}

}
