#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"
#include "papayastep/net/httpmessage.h"
#include "papayastep/routing/serverannouncement.h"

#include <optional>
#include <string>

namespace papayastep::node {

/// The data that a backend server receives about a request in addition to method, path and body.
struct BackendCall
{
    base::RequestId request;
    base::BackendServerId server; ///< The backend server that must run the request.
    base::WorkspaceId workspace; ///< Empty if the route is public.
    base::ServiceId callerService; ///< The service of the VM at which the request entered; empty if unknown.
    base::Duration remaining{0}; ///< Time left until the deadline of the request.
};

/// Classification of an answer by its head.
enum class AnswerKind {
    Answered, ///< The answer of the server to this request.
    NotRun, ///< The server reports that it did not run the request and will not run it.
    OtherServer, ///< Like NotRun, because the address now belongs to another server.
    OtherRequest, ///< The answer to another request, which arrived late or twice.
    Unproven, ///< Reports success but lacks the proof that a server produced it.
};

/// The protocol for requests to backend servers. Each environment has its own subclass, which translates messages and
/// makes no decisions.
class BackendProtocol
{
public:
    virtual ~BackendProtocol() = default;

    /// Sets the headers that only the system may set, replacing existing values.
    virtual void prepare(net::RequestHead &head, const BackendCall &call) const = 0;

    virtual AnswerKind classify(const net::ResponseHead &answer, const net::RequestHead &request) const = 0;

    /// Whether the answer to a probe of the health endpoint of `server` reports that the server is healthy.
    virtual bool isHealthy(const net::ResponseHead &answer, const base::BackendServerId &server) const = 0;

    /// Whether the answer to a probe of the health endpoint was created by `server`, healthy or not.
    virtual bool isFrom(const net::ResponseHead &answer, const base::BackendServerId &server) const = 0;

    /// Returns all that the server announces about itself in an answer to a request or a probe.
    virtual routing::ServerAnnouncement announcement(const net::ResponseHead &answer) const = 0;
};

/// The protocol that papayastep defines itself (docs/CALLERS.md).
class NativeBackendProtocol final : public BackendProtocol
{
public:
    void prepare(net::RequestHead &head, const BackendCall &call) const override;
    AnswerKind classify(const net::ResponseHead &answer, const net::RequestHead &request) const override;
    bool isHealthy(const net::ResponseHead &answer, const base::BackendServerId &server) const override;
    bool isFrom(const net::ResponseHead &answer, const base::BackendServerId &server) const override;
    routing::ServerAnnouncement announcement(const net::ResponseHead &answer) const override;
};

}
