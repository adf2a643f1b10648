#pragma once

#include "papayastep/base/identifiers.h"
#include "papayastep/net/httpmessage.h"
#include "papayastep/routing/outcome.h"

#include <optional>
#include <string>

namespace papayastep::node {

/// What a caller says about its request besides method, path and body.
struct CallerRequest
{
    std::string key; ///< Empty: none.
    std::string id; ///< The caller's own name for the request, for logs and answers. Empty: none.
    std::optional<base::Duration> timeout; ///< How long the caller will wait; absent: as long as the route says.
    std::string idempotencyKey; ///< Empty: none.
};

/// How callers speak to an entry: which headers say who they are, and how they are told that a request was refused.
/// Another environment is another subclass; no decision is made here.
class CallerProtocol
{
public:
    virtual ~CallerProtocol() = default;

    /// Reads what the caller says. Throws Error (3xxx) for a head that must be refused.
    virtual CallerRequest read(const net::RequestHead &head) const = 0;

    /// Removes what ends at the entry: keys, and headers that only the system may set.
    virtual void strip(net::RequestHead &head) const = 0;

    /// An answer that the system makes itself. `requestId` may be empty where the request has none yet.
    virtual net::WholeAnswer refusal(const routing::Refusal &refusal,
                                     const std::string &requestId,
                                     const std::string &detail) const = 0;

    /// Whether callers can name their repeats. Where they can't, no node keeps a ledger: its homes would hand records
    /// that nobody makes to each other at every change of the VM list, a message from each node to each.
    virtual bool hasIdempotencyKeys() const = 0;

    /// Adds to a backend server's answer what the system says about it.
    virtual void annotate(net::ResponseHead &head,
                          const std::string &requestId,
                          const base::BackendServerId &server) const = 0;
};

/// The interface of papayastep itself (docs/CALLERS.md).
class NativeCallerProtocol final : public CallerProtocol
{
public:
    CallerRequest read(const net::RequestHead &head) const override;
    void strip(net::RequestHead &head) const override;
    net::WholeAnswer refusal(const routing::Refusal &refusal,
                             const std::string &requestId,
                             const std::string &detail) const override;
    bool hasIdempotencyKeys() const override;
    void annotate(net::ResponseHead &head,
                  const std::string &requestId,
                  const base::BackendServerId &server) const override;
};

}
