#include "papayastep/net/rawheader.h"

namespace papayastep::net {

namespace {

bool startsFoldedLine(char c)
{
    return c == ' ' || c == '\t';
}

}

// Some servers interpret a bare LF or a folded line as a line end and others as data. Two such servers disagree about
// where a request ends, and a caller could smuggle a second request past the key check, so both forms are refused.
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

}
