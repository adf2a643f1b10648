#include "papayastep/node/callerprotocol.h"

#include "papayastep/base/error.h"
#include "papayastep/node/refusals.h"

#include <algorithm>

namespace papayastep::node {

namespace {

constexpr std::string_view bearer = "Bearer ";

net::beast::string_view boostView(std::string_view text)
{
    return {text.data(), text.size()};
}

std::string keyOf(const net::RequestHead &head)
{
    const auto authorization = net::view(head[net::http::field::authorization]);
    if (authorization.size() > bearer.size()
        && net::beast::iequals(boostView(authorization.substr(0, bearer.size())), boostView(bearer))) {
        return std::string(authorization.substr(bearer.size()));
    }
    return std::string(net::view(head["X-Api-Key"]));
}

bool hasReservedHeader(const net::RequestHead &head)
{
    return std::any_of(
        head.begin(), head.end(), [](const auto &field) { return net::isReserved(net::view(field.name_string())); });
}

}

CallerRequest NativeCallerProtocol::read(const net::RequestHead &head) const
{
    if (hasReservedHeader(head)) {
        throw base::Error(base::ResultCode::RequestReservedHeader, "a header begins with Papayastep-");
    }
    CallerRequest request;
    request.key = keyOf(head);
    request.idempotencyKey = std::string(net::view(head["Idempotency-Key"]));
    return request;
}

void NativeCallerProtocol::strip(net::RequestHead &head) const
{
    head.erase(net::http::field::authorization);
    head.erase("X-Api-Key");
}

net::WholeAnswer NativeCallerProtocol::refusal(const routing::Refusal &refusal,
                                               const std::string &requestId,
                                               const std::string &detail) const
{
    return refusalAnswer(refusal, requestId, detail);
}

bool NativeCallerProtocol::hasIdempotencyKeys() const
{
    return true;
}

void NativeCallerProtocol::annotate(net::ResponseHead &head,
                                    const std::string &requestId,
                                    const base::BackendServerId &server) const
{
    head.set("Papayastep-Request-Id", requestId);
    if (!server.empty()) {
        head.set("Papayastep-Server", server.value());
    }
}

}
