#pragma once

#include "papayastep/base/identifiers.h"
#include "papayastep/net/httpmessage.h"
#include "papayastep/routing/outcome.h"

#include <optional>
#include <string>

namespace papayastep::node {

/// The data that a caller sends about its request in addition to method, path and body.
struct CallerRequest
{
    std::string key; ///< API key; empty if none was sent.
    std::string id; ///< The caller's own id of the request, shown in logs and answers; empty if none was sent.
    std::optional<base::Duration>
        timeout; ///< Time that the caller will wait; without it, the deadline of the route applies.
    std::string idempotencyKey; ///< Empty if none was sent.
};

/// The protocol between callers and an entry: which headers identify a caller, and how a refusal is reported to it.
/// Each environment has its own subclass, which translates messages and makes no decisions.
class CallerProtocol
{
public:
    virtual ~CallerProtocol() = default;

    /// Reads the caller's data from the head. Throws Error (3xxx) for a head that must be refused.
    virtual CallerRequest read(const net::RequestHead &head) const = 0;

    /// Removes the headers that must not be forwarded by the entry: keys, and headers that only the system may set.
    virtual void strip(net::RequestHead &head) const = 0;

    /// Returns the answer for a refusal by the system. `requestId` may be empty if the request has no id yet.
    virtual net::WholeAnswer refusal(const routing::Refusal &refusal,
                                     const std::string &requestId,
                                     const std::string &detail) const = 0;

    /// Whether callers can mark repeated requests by an idempotency key. Without such keys no node keeps a ledger:
    /// there would be no records, yet at every change of the VM list each home node would send a message to every other
    /// node to hand them over.
    virtual bool hasIdempotencyKeys() const = 0;

    /// Adds the system's own headers to the answer of a backend server.
    virtual void annotate(net::ResponseHead &head,
                          const std::string &requestId,
                          const base::BackendServerId &server) const = 0;
};

/// The protocol that papayastep defines itself (docs/CALLERS.md).
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
