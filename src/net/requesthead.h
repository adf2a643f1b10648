#pragma once

#include "pipelinewindow.h"

#include "papayastep/base/resultcode.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string_view>

namespace papayastep::net {

/// Whether the bytes read so far contain a complete header, or why they are refused.
struct HeadBlock
{
    bool isComplete = false;
    base::ResultCode code = base::ResultCode::Ok;
    std::string_view detail; ///< Why it is refused.
};

using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;

HeadBlock checkHeadBlock(boost::asio::const_buffer data, std::size_t headerBytes);

base::ResultCode codeOfParserError(const boost::beast::error_code &error);

/// Returns the properties of the request whose head `parser` has read. A request that expects an interim answer counts
/// as unsafe, because that answer could not be sent before its turn.
PipelinedRequest pipelinedRequestOf(const RequestParser &parser);

}
