#include "papayastep/net/httpmessage.h"

#include "papayastep/net/httpstatus.h"

#include <algorithm>
#include <array>

namespace papayastep::net {

namespace {

constexpr std::array<std::string_view, 9> hopByHopNames{"connection",
                                                        "keep-alive",
                                                        "proxy-authenticate",
                                                        "proxy-authorization",
                                                        "proxy-connection",
                                                        "te",
                                                        "trailer",
                                                        "transfer-encoding",
                                                        "upgrade"};
constexpr std::string_view reservedPrefix = "papayastep-";

}

bool isHopByHop(std::string_view name)
{
    return std::any_of(hopByHopNames.begin(), hopByHopNames.end(), [&](std::string_view known) {
        return beast::iequals({name.data(), name.size()}, {known.data(), known.size()});
    });
}

bool isReserved(std::string_view name)
{
    const auto prefix = name.substr(0, reservedPrefix.size());
    return beast::iequals({prefix.data(), prefix.size()}, {reservedPrefix.data(), reservedPrefix.size()});
}

namespace {

/// Whether any Connection field names `name`. A caller may send several Connection fields, and all of them apply.
bool isNamedByConnection(const http::fields &fields, beast::string_view name)
{
    const auto range = fields.equal_range(http::field::connection);
    return std::any_of(
        range.first, range.second, [&](const auto &field) { return http::token_list(field.value()).exists(name); });
}

}

void copyEndToEnd(const http::fields &from, http::fields &to)
{
    for (const auto &field : from) {
        const auto name = view(field.name_string());
        if (isHopByHop(name) || isReserved(name) || isNamedByConnection(from, field.name_string())) {
            continue;
        }
        to.insert(field.name(), field.name_string(), field.value());
    }
}

bool isPlainOrChunked(const http::fields &fields)
{
    const auto codings = fields.count(http::field::transfer_encoding);
    return codings == 0 || (codings == 1 && beast::iequals(fields[http::field::transfer_encoding], "chunked"));
}

void setLength(http::response<http::string_body> &answer, bool isAnswerToHead)
{
    if (!mayHaveLength(answer.result_int())) {
        answer.erase(http::field::content_length);
    }
    if (!mayHaveBody(answer.result_int())) {
        answer.body().clear();
    } else if (!isAnswerToHead) {
        answer.content_length(answer.body().size());
    }
}

base::ResultCode checkHead(const RequestHead &head)
{
    const auto lengths = head.count(http::field::content_length);
    const auto encodings = head.count(http::field::transfer_encoding);
    if (lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0)) {
        return base::ResultCode::RequestAmbiguousLength;
    }
    // Servers interpret a list of lengths differently, even if the lengths are equal.
    const auto length = head[http::field::content_length];
    const bool isNotNumber
        = length.empty() || !std::all_of(length.begin(), length.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (lengths == 1 && isNotNumber) {
        return base::ResultCode::RequestAmbiguousLength;
    }
    if (!isPlainOrChunked(head)) {
        return base::ResultCode::RequestAmbiguousLength;
    }
    if (head.version() != 11 && head.version() != 10) {
        return base::ResultCode::RequestMalformed;
    }
    if (head.version() == 11 && head.count(http::field::host) != 1) {
        return base::ResultCode::RequestMalformed;
    }
    const auto target = head.target();
    if (target.empty() || target.front() != '/') {
        return base::ResultCode::RequestMalformed;
    }
    return base::ResultCode::Ok;
}

WholeAnswer jsonAnswer(http::status status, std::string body)
{
    WholeAnswer answer;
    answer.head.result(status);
    answer.head.set(http::field::content_type, "application/json");
    answer.body = std::move(body);
    return answer;
}

}
