#include "requesthead.h"

#include "papayastep/net/rawheader.h"

namespace papayastep::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// Returns whether the method is one of those that RFC 9110, 9.2.1 calls safe.
bool isSafeMethod(http::verb method)
{
    return method == http::verb::get || method == http::verb::head || method == http::verb::options;
}

}

HeadBlock checkHeadBlock(asio::const_buffer data, std::size_t headerBytes)
{
    const std::string_view bytes(static_cast<const char *>(data.data()), data.size());
    const auto end = bytes.find("\r\n\r\n");
    const bool isComplete = end != std::string_view::npos;
    auto block = bytes.substr(0, isComplete ? end + 4 : end);
    if (!isComplete && !block.empty() && block.back() == '\r') {
        // An incomplete block may end between CR and LF, or just before the byte that folds a line.
        block.remove_suffix(1);
    }
    if (checkRawHeader(block) != base::ResultCode::Ok) {
        return {false,
                base::ResultCode::RequestMalformed,
                "the header contains a bare line end, a folded line or a NUL byte"};
    }
    if (!isComplete && bytes.size() > headerBytes) {
        return {false, base::ResultCode::RequestHeaderTooLarge, "the header is larger than the limit"};
    }
    return {isComplete, base::ResultCode::Ok, {}};
}

base::ResultCode codeOfParserError(const beast::error_code &error)
{
    if (error == http::error::bad_content_length || error == http::error::bad_transfer_encoding) {
        return base::ResultCode::RequestAmbiguousLength;
    }
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return base::ResultCode::RequestHeaderTooLarge;
    }
    if (error == http::error::body_limit) {
        return base::ResultCode::RequestBodyTooLarge;
    }
    if (error == beast::error::timeout) {
        return base::ResultCode::RequestTooSlow;
    }
    return base::ResultCode::RequestMalformed;
}

PipelinedRequest pipelinedRequestOf(const RequestParser &parser)
{
    const auto &head = parser.get();
    const bool hasBody = !parser.is_done();
    const bool isSafe = isSafeMethod(head.method()) && !hasBody && head.count(http::field::expect) == 0;
    return {isSafe, head.version() == 10 || !head.keep_alive()};
}

}
