#include "papayastep/net/httpmessage.h"

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

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

bool startsFoldedLine(char c)
{
    return c == ' ' || c == '\t';
}

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

void copyEndToEnd(const http::fields &from, http::fields &to)
{
    const auto connection = from[http::field::connection];
    http::token_list named(connection);
    for (const auto &field : from) {
        const auto name = view(field.name_string());
        if (isHopByHop(name) || isReserved(name) || named.exists(field.name_string())) {
            continue;
        }
        to.insert(field.name(), field.name_string(), field.value());
    }
}

// A bare LF or a folded line is read as a line end by some servers and as data by others. The two then disagree about
// where a request ends, and a caller could smuggle a second one past the key check: so neither is passed on.
base::ResultCode checkRawHeader(std::string_view block)
{
    for (std::size_t at = 0; at < block.size(); ++at) {
        const char c = block[at];
        if (c == '\n') {
            const bool bare = at == 0 || block[at - 1] != '\r';
            const bool folded = at + 1 < block.size() && startsFoldedLine(block[at + 1]);
            if (bare || folded) {
                return base::ResultCode::RequestMalformed;
            }
        } else if (c == '\r') {
            if (at + 1 >= block.size() || block[at + 1] != '\n') {
                return base::ResultCode::RequestMalformed;
            }
        } else if (c == '\0') {
            return base::ResultCode::RequestMalformed;
        }
    }
    return base::ResultCode::Ok;
}

base::ResultCode checkHead(const RequestHead &head)
{
    const auto lengths = head.count(http::field::content_length);
    const auto encodings = head.count(http::field::transfer_encoding);
    if (lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0)) {
        return base::ResultCode::RequestAmbiguousLength;
    }
    // A list of lengths, even of equal ones, is read differently by different servers.
    const auto length = head[http::field::content_length];
    if (lengths == 1 && !std::all_of(length.begin(), length.end(), [](char c) { return c >= '0' && c <= '9'; })) {
        return base::ResultCode::RequestAmbiguousLength;
    }
    if (encodings == 1 && !beast::iequals(head[http::field::transfer_encoding], "chunked")) {
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
