#include "outbox.h"

#include <iterator>

namespace papayastep::limits {

void Outbox::ask(const base::VmId &holder, const TokenAsk &ask)
{
    m_requests[holder].asks.push_back(ask);
}

void Outbox::report(const base::VmId &holder, const GrantUse &use)
{
    m_returns[holder].uses.push_back(use);
}

void Outbox::answer(const base::VmId &asker, base::Incarnation incarnation, const GrantAnswer &answer)
{
    TokenGrant &grant = m_grants[{asker, incarnation}];
    grant.asker = incarnation;
    grant.answers.push_back(answer);
}

std::vector<wire::Outgoing> Outbox::take()
{
    std::vector<wire::Outgoing> messages;
    for (auto &[holder, request] : m_requests) {
        const auto returns = m_returns.find(holder);
        if (returns != m_returns.end()) {
            request.uses = std::move(returns->second.uses);
            m_returns.erase(returns);
        }
        messages.push_back(wire::outgoing(holder, wire::MessageKind::TokenRequest, request));
    }
    for (const auto &[holder, returns] : m_returns) {
        messages.push_back(wire::outgoing(holder, wire::MessageKind::TokenReturn, returns));
    }
    for (const auto &[asker, grant] : m_grants) {
        messages.push_back(wire::outgoing(asker.first, wire::MessageKind::TokenGrant, grant));
    }
    m_requests.clear();
    m_returns.clear();
    m_grants.clear();
    return messages;
}

}
