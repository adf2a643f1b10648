#pragma once

#include "papayastep/limits/messages.h"
#include "papayastep/wire/message.h"

#include <map>
#include <utility>
#include <vector>

namespace papayastep::limits {

/// Gathers what goes to one VM between two calls of take() into one message of a kind.
class Outbox
{
public:
    void ask(const base::VmId &holder, const TokenAsk &ask);
    void report(const base::VmId &holder, const GrantUse &use);
    void answer(const base::VmId &asker, base::Incarnation incarnation, const GrantAnswer &answer);

    std::vector<wire::Outgoing> take();

private:
    std::map<base::VmId, TokenRequest> m_requests;
    std::map<base::VmId, TokenReturn> m_returns;
    std::map<std::pair<base::VmId, base::Incarnation>, TokenGrant> m_grants;
};

}
