#pragma once

#include "papayastep/base/resultcode.h"
#include "papayastep/net/asio.h"
#include "papayastep/net/rawheader.h"

#include <string>
#include <string_view>

namespace papayastep::net {

using RequestHead = http::request_header<http::fields>;
using ResponseHead = http::response_header<http::fields>;

/// An HTTP response with its complete body.
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
    bool close = false; ///< Whether the connection is closed after this answer.
};

/// Converts `text` to the string view of the standard library; Boost 1.74 has its own type.
inline std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Whether the field `name` applies to one connection only (RFC 9110, 7.6.1) and is never forwarded.
bool isHopByHop(std::string_view name);

/// Whether the field `name` is reserved (`Papayastep-...`): only the system sets it, and it is never taken from a
/// caller.
bool isReserved(std::string_view name);

/// Copies all fields except hop-by-hop fields, reserved fields and those named by a `Connection` field.
void copyEndToEnd(const http::fields &from, http::fields &to);

/// Returns whether the body behind the head `fields` is sent as it is or in chunks. A request without a TE field allows
/// no other transfer coding of its answer (RFC 9112, 7.4).
bool isPlainOrChunked(const http::fields &fields);

/// Sets the length of an answer that is complete in `answer`. The answer to a HEAD request keeps the length that the
/// answer to a GET request would have; one whose status has no body gets neither a length nor a body, or its recipient
/// would wait for the bytes.
void setLength(http::response<http::string_body> &answer, bool isAnswerToHead);

/// Checks a request head more strictly than the parser does. Returns Ok or the code with which to refuse the request.
base::ResultCode checkHead(const RequestHead &head);

/// Makes an answer whose body is the JSON text `body`.
WholeAnswer jsonAnswer(http::status status, std::string body);

}
