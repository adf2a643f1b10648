#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"
#include "papayastep/net/httpmessage.h"

#include <optional>
#include <string>

namespace papayastep::node {

/// What a backend server is told about a request besides method, path and body.
struct BackendCall
{
    base::RequestId request;
    base::BackendServerId server; ///< Who must run it.
    base::WorkspaceId workspace; ///< Empty: the route is public.
    base::ServiceId callerService; ///< The service of the VM where the request entered; empty: not known.
    base::Duration remaining{0}; ///< Until the request's deadline.
};

/// What the head of an answer proves.
enum class AnswerKind {
    Answered, ///< The server's answer to this request.
    NotRun, ///< The server says that it did not run the request and will not.
    OtherServer, ///< As NotRun; the address belongs to another server by now.
    OtherRequest, ///< The answer to another request: it came late, or twice.
    Unproven, ///< Says success and lacks the proof that a server made it.
};

/// What a server says about its own load.
struct ServerLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 0;

    auto operator<=>(const ServerLoad &) const = default;
};

/// How backend servers are spoken to. Another environment is another subclass; no decision is made here.
class BackendProtocol
{
public:
    virtual ~BackendProtocol() = default;

    /// Sets what only the system may set, whatever stood there.
    virtual void prepare(net::RequestHead &head, const BackendCall &call) const = 0;

    virtual AnswerKind classify(const net::ResponseHead &answer, const net::RequestHead &request) const = 0;

    /// Nothing where the server does not tell.
    virtual std::optional<ServerLoad> reportedLoad(const net::ResponseHead &answer) const = 0;

    /// Whether the answer to a probe of the health endpoint of `server` says that it is well.
    virtual bool isHealthy(const net::ResponseHead &answer, const base::BackendServerId &server) const = 0;
};

/// The interface of papayastep itself (docs/CALLERS.md).
class NativeBackendProtocol final : public BackendProtocol
{
public:
    void prepare(net::RequestHead &head, const BackendCall &call) const override;
    AnswerKind classify(const net::ResponseHead &answer, const net::RequestHead &request) const override;
    std::optional<ServerLoad> reportedLoad(const net::ResponseHead &answer) const override;
    bool isHealthy(const net::ResponseHead &answer, const base::BackendServerId &server) const override;
};

}
