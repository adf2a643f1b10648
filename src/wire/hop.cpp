#include "papayastep/wire/hop.h"

#include "papayastep/wire/seal.h"

#include <sodium.h>

namespace papayastep::wire {

namespace {

constexpr std::size_t maxHeaderBytes = 8 * 1024;
constexpr int variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;

std::string toBase64(const std::string &bytes)
{
    std::string text(sodium_base64_encoded_len(bytes.size(), variant), '\0');
    sodium_bin2base64(
        text.data(), text.size(), reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), variant);
    text.pop_back();
    return text;
}

std::string fromBase64(std::string_view text)
{
    std::string bytes(text.size(), '\0');
    std::size_t size = 0;
    const char *end = nullptr;
    const int result = sodium_base642bin(reinterpret_cast<unsigned char *>(bytes.data()),
                                         bytes.size(),
                                         text.data(),
                                         text.size(),
                                         nullptr,
                                         &size,
                                         &end,
                                         variant);
    if (result != 0 || end != text.data() + text.size()) {
        throw base::Error(base::ResultCode::HopMalformed, "the hop header is not base64");
    }
    bytes.resize(size);
    return bytes;
}

template<typename Value>
Value decodeHop(const std::string &bytes)
{
    try {
        return decode<Value>(bytes);
    } catch (const base::Error &error) {
        throw base::Error(base::ResultCode::HopMalformed, error.detail());
    }
}

std::string contextOf(std::string_view method, std::string_view target, std::string_view body)
{
    std::string context;
    context.reserve(method.size() + target.size() + body.size() + 2);
    context.append(method).append(1, ' ').append(target).append(1, '\n').append(body);
    return context;
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
    return seal(encode(request), contextOf(method, target, body));
}

HopRequest HopCodec::openRequest(std::string_view header,
                                 std::string_view method,
                                 std::string_view target,
                                 std::string_view body) const
{
    return decodeHop<HopRequest>(open(header, contextOf(method, target, body)));
}

std::string HopCodec::sealReply(const HopReply &reply) const
{
    return seal(encode(reply), "reply");
}

HopReply HopCodec::openReply(std::string_view header) const
{
    return decodeHop<HopReply>(open(header, "reply"));
}

std::string HopCodec::seal(const std::string &bytes, std::string_view context) const
{
    const Tag tag = tagOf(m_key, {bytes, context});
    return toBase64(bytes + std::string(reinterpret_cast<const char *>(tag.data()), tag.size()));
}

std::string HopCodec::open(std::string_view header, std::string_view context) const
{
    if (header.size() > maxHeaderBytes) {
        throw base::Error(base::ResultCode::HopMalformed, "the hop header is too long");
    }
    std::string bytes = fromBase64(header);
    if (bytes.size() <= tagBytes) {
        throw base::Error(base::ResultCode::HopMalformed, "the hop header is too short");
    }
    const std::string tag = bytes.substr(bytes.size() - tagBytes);
    bytes.resize(bytes.size() - tagBytes);
    if (!sameTag(tagOf(m_key, {bytes, context}), tag)) {
        throw base::Error(base::ResultCode::HopUnauthenticated, "the tag does not match");
    }
    return bytes;
}

}
