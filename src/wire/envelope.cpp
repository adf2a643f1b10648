#include "papayastep/wire/envelope.h"

#include "papayastep/wire/seal.h"

#include <zstd.h>

#include <tuple>

namespace papayastep::wire {

namespace {

constexpr std::size_t minCompressedBytes = 256;
constexpr int compressionLevel = 3;

using EnvelopeFields = std::tuple<LayoutBits,
                                  std::string,
                                  base::Incarnation,
                                  std::uint64_t,
                                  base::Revision,
                                  CapabilityBits,
                                  std::uint8_t,
                                  std::string,
                                  std::string>;

std::string compressed(const std::string &payload)
{
    std::string out(ZSTD_compressBound(payload.size()), '\0');
    const std::size_t size = ZSTD_compress(out.data(), out.size(), payload.data(), payload.size(), compressionLevel);
    if (ZSTD_isError(size) != 0) {
        return payload;
    }
    out.resize(size);
    return out;
}

std::string decompressed(const std::string &payload)
{
    const unsigned long long size = ZSTD_getFrameContentSize(payload.data(), payload.size());
    // A frame can declare any size. The limit prevents a hostile frame from using up the memory of the node.
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > maxMessageBytes) {
        throw base::Error(base::ResultCode::MessageMalformed,
                          "the compressed payload declares no size or one above the limit");
    }
    std::string out(size, '\0');
    const std::size_t got = ZSTD_decompress(out.data(), out.size(), payload.data(), payload.size());
    if (ZSTD_isError(got) != 0 || got != size) {
        throw base::Error(base::ResultCode::MessageMalformed, "the compressed payload cannot be decompressed");
    }
    return out;
}

}

EnvelopeCodec::EnvelopeCodec(const std::string &secret)
    : m_key(deriveKey(secret, "envelope"))
{
}

std::string EnvelopeCodec::seal(const Envelope &envelope, bool compress) const
{
    LayoutBits layout = layoutPlain;
    std::string payload = envelope.payload;
    if (compress && payload.size() >= minCompressedBytes) {
        std::string smaller = compressed(payload);
        if (smaller.size() < payload.size()) {
            payload = std::move(smaller);
            layout |= layoutCompressed;
        }
    }
    const EnvelopeFields fields{layout,
                                envelope.sender.value(),
                                envelope.incarnation,
                                envelope.sequence,
                                envelope.revision,
                                envelope.capabilities,
                                static_cast<std::uint8_t>(envelope.kind),
                                std::move(payload),
                                envelope.replyTo};
    std::string bytes = encode(fields);
    const Tag tag = tagOf(m_key, {bytes});
    bytes.append(reinterpret_cast<const char *>(tag.data()), tag.size());
    return bytes;
}

Envelope EnvelopeCodec::open(std::string_view bytes) const
{
    if (bytes.size() <= tagBytes || bytes.size() > maxMessageBytes) {
        throw base::Error(base::ResultCode::MessageMalformed, "the message is too short or too long");
    }
    const std::string_view body = bytes.substr(0, bytes.size() - tagBytes);
    if (!sameTag(tagOf(m_key, {body}), bytes.substr(body.size()))) {
        throw base::Error(base::ResultCode::MessageUnauthenticated, "the authentication tag does not match");
    }
    auto fields = decode<EnvelopeFields>(body);
    const LayoutBits layout = std::get<0>(fields);
    if ((layout & ~knownLayout) != 0) {
        throw base::Error(base::ResultCode::MessageUnknownLayout, "unknown layout bits in " + std::to_string(layout));
    }
    std::string payload = std::move(std::get<7>(fields));
    if ((layout & layoutCompressed) != 0) {
        payload = decompressed(payload);
    }
    return Envelope{base::VmId(std::get<1>(fields)),
                    std::get<2>(fields),
                    std::get<3>(fields),
                    std::get<4>(fields),
                    std::get<5>(fields),
                    static_cast<MessageKind>(std::get<6>(fields)),
                    std::move(payload),
                    std::move(std::get<8>(fields))};
}

bool ReplayWindow::accept(const base::VmId &sender, base::Incarnation incarnation, std::uint64_t sequence)
{
    constexpr std::uint64_t windowSize = 64;
    ReceivedSequences &received = m_received[sender];
    if (received.incarnation != incarnation) {
        received = ReceivedSequences{incarnation, sequence, 1};
        return true;
    }
    if (sequence > received.highest) {
        const std::uint64_t shift = sequence - received.highest;
        received.bitmap = shift >= windowSize ? 0 : received.bitmap << shift;
        received.bitmap |= 1;
        received.highest = sequence;
        return true;
    }
    const std::uint64_t age = received.highest - sequence;
    if (age >= windowSize || (received.bitmap & (std::uint64_t(1) << age)) != 0) {
        return false;
    }
    received.bitmap |= std::uint64_t(1) << age;
    return true;
}

void ReplayWindow::forget(const base::VmId &sender)
{
    m_received.erase(sender);
}

}
