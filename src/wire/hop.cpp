#include "papayastep/wire/hop.h"

#include "papayastep/wire/base64.h"
#include "papayastep/wire/seal.h"

namespace papayastep::wire {

namespace {

constexpr std::size_t maxHeaderBytes = 8 * 1024;

template<typename Value>
Value decodeHop(const std::string &bytes)
{
    try {
        return decode<Value>(bytes);
    } catch (const base::Error &error) {
        throw base::Error(base::ResultCode::HopMalformed, error.detail());
    }
}

}

HopCodec::HopCodec(const std::string &secret)
    : m_key(deriveKey(secret, "hop"))
{
}

std::string HopCodec::sealRequest(const HopRequest &request,
                                  std::string_view method,
                                  std::string_view target,
                                  std::string_view body) const
{
    return seal(encode(request), {method, " ", target, "\n", body});
}

HopRequest HopCodec::openRequest(std::string_view header,
                                 std::string_view method,
                                 std::string_view target,
                                 std::string_view body) const
{
    return decodeHop<HopRequest>(open(header, {method, " ", target, "\n", body}));
}

std::string HopCodec::sealReply(const HopReply &reply) const
{
    return seal(encode(reply), {"reply"});
}

HopReply HopCodec::openReply(std::string_view header) const
{
    return decodeHop<HopReply>(open(header, {"reply"}));
}

std::string HopCodec::seal(const std::string &bytes, std::initializer_list<std::string_view> context) const
{
    const Tag tag = tagOfPieces(m_key, bytes, context);
    return toBase64(bytes + std::string(reinterpret_cast<const char *>(tag.data()), tag.size()), Base64::UrlSafe);
}

std::string HopCodec::open(std::string_view header, std::initializer_list<std::string_view> context) const
{
    if (header.size() > maxHeaderBytes) {
        throw base::Error(base::ResultCode::HopMalformed, "the hop header is too long");
    }
    const auto decoded = fromBase64(header, Base64::UrlSafe);
    if (!decoded) {
        throw base::Error(base::ResultCode::HopMalformed, "the hop header is not valid base64");
    }
    std::string bytes = *decoded;
    if (bytes.size() <= tagBytes) {
        throw base::Error(base::ResultCode::HopMalformed, "the hop header is too short");
    }
    const std::string tag = bytes.substr(bytes.size() - tagBytes);
    bytes.resize(bytes.size() - tagBytes);
    if (!sameTag(tagOfPieces(m_key, bytes, context), tag)) {
        throw base::Error(base::ResultCode::HopUnauthenticated, "the authentication tag does not match");
    }
    return bytes;
}

}
