#pragma once

#include "papayastep/base/resultcode.h"
#include "papayastep/net/asio.h"
#include "papayastep/net/rawheader.h"

#include <string>
#include <string_view>

namespace papayastep::net {

using RequestHead = http::request_header<http::fields>;
using ResponseHead = http::response_header<http::fields>;

/// An answer with its whole body.
///
/// Not an aggregate: GCC 12 destroys a braced aggregate twice when it is a temporary inside a co_await expression.
struct WholeAnswer
{
    WholeAnswer() = default;
    WholeAnswer(ResponseHead answerHead, std::string answerBody)
        : head(std::move(answerHead))
        , body(std::move(answerBody))
    {
    }

    ResponseHead head;
    std::string body;
    bool close = false; ///< Close the connection after it.
};

/// The same text as the standard's view: Boost 1.74 has a type of its own.
inline std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Whether `name` belongs to one connection (RFC 9110, 7.6.1) and is never passed on.
bool isHopByHop(std::string_view name);

/// Whether `name` is one of ours (`Papayastep-...`): set by the system, never taken from a caller.
bool isReserved(std::string_view name);

/// Copies all fields but the hop-by-hop and reserved ones and those that `Connection` names.
void copyEndToEnd(const http::fields &from, http::fields &to);

/// Strict checks that go beyond the parser. Returns Ok or the code to refuse the request with.
base::ResultCode checkHead(const RequestHead &head);

/// An answer of JSON text.
WholeAnswer jsonAnswer(http::status status, std::string body);

}
