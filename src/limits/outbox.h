#pragma once

#include "papayastep/limits/messages.h"
#include "papayastep/wire/message.h"

#include <map>
#include <utility>
#include <vector>

namespace papayastep::limits {

/// Collects outgoing items, and combines those of one kind for one VM into one message between two calls of take().
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
