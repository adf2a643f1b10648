#include "targets.h"

#include "papayastep/config/check.h"
#include "papayastep/health/messages.h"
#include "papayastep/limits/messages.h"
#include "papayastep/membership/directoryrelay.h"
#include "papayastep/membership/messages.h"
#include "papayastep/net/platformanswers.h"
#include "papayastep/net/rawheader.h"
#include "papayastep/wire/hop.h"
#include "papayastep/wire/seal.h"
#include "papayastep/wire/slotquery.h"

#include <sodium.h>

#include <array>
#include <stdexcept>

namespace papayastep::fuzz {

namespace {

const std::string secret = "a fleet secret of fuzzing";

/// Calls `read` and accepts base::Error, with which it rejects malformed input.
template<typename Reader>
void readOrReject(Reader read)
{
    try {
        read();
    } catch (const base::Error &) {
        return;
    }
}

std::string withTag(std::string bytes, std::string_view purpose, std::initializer_list<std::string_view> parts)
{
    const wire::Tag tag = wire::tagOf(wire::deriveKey(secret, purpose), parts);
    bytes.append(reinterpret_cast<const char *>(tag.data()), tag.size());
    return bytes;
}

/// Returns a hop header with a valid tag for any payload, so that the input reaches the decoder of the payload.
std::string hopHeader(std::string_view payload, std::string_view context)
{
    constexpr int variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
    const std::string sealed = withTag(std::string(payload), "hop", {payload, context});
    std::string text(sodium_base64_encoded_len(sealed.size(), variant), '\0');
    sodium_bin2base64(
        text.data(), text.size(), reinterpret_cast<const unsigned char *>(sealed.data()), sealed.size(), variant);
    text.pop_back();
    return text;
}

template<typename... Values>
void decodeEach(std::string_view payload)
{
    (readOrReject([&] { wire::decode<Values>(payload); }), ...);
}

void decodeEveryKind(std::string_view payload)
{
    decodeEach<limits::TokenRequest, limits::TokenReturn, limits::TokenGrant>(payload);
    decodeEach<limits::TenureQuery, limits::TenureAnswer>(payload);
    decodeEach<health::SiblingState, health::SiblingLeaving, health::ServerReport>(payload);
    decodeEach<membership::RevisionNotice,
               membership::ConfigurationRequest,
               membership::RequestDeclined,
               membership::TransferPart>(payload);
    decodeEach<membership::VmListUpdate, membership::VmLeaving>(payload);
    decodeEach<wire::CancelAttempt, wire::CancelResult>(payload);
    decodeEach<membership::DirectoryNews>(payload);
    decodeEach<wire::SlotQuery, wire::SlotOffer>(payload);
}

}

void fuzzConfiguration(std::string_view bytes)
{
    config::checkFiles({{"10-fuzzed.json", std::string(bytes)}});
}

void fuzzHop(std::string_view bytes)
{
    static const wire::HopCodec codec(secret);
    readOrReject([&] { codec.openRequest(bytes, "GET", "/", ""); });
    readOrReject([&] { codec.openReply(bytes); });
    readOrReject([&] { codec.openRequest(hopHeader(bytes, "GET /\n"), "GET", "/", ""); });
    readOrReject([&] { codec.openReply(hopHeader(bytes, "reply")); });
}

void fuzzPeer(std::string_view bytes)
{
    static const wire::EnvelopeCodec codec(secret);
    readOrReject([&] { codec.open(bytes); });
    readOrReject([&] { codec.open(withTag(std::string(bytes), "envelope", {bytes})); });
    decodeEveryKind(bytes);
}

void fuzzPlatform(std::string_view bytes)
{
    readOrReject([&] { net::parsePublishedIndex(std::string(bytes)); });
    readOrReject([&] { net::parseVmList(std::string(bytes)); });
}

void fuzzRawHeader(std::string_view bytes)
{
    const bool accepted = net::checkRawHeader(bytes) == base::ResultCode::Ok;
    if (accepted && bytes.find('\0') != std::string_view::npos) {
        throw std::logic_error("accepted header block contains a NUL byte");
    }
}

std::span<const Target> targets()
{
    static constexpr std::array all{Target{"configuration", fuzzConfiguration},
                                    Target{"hop", fuzzHop},
                                    Target{"peer", fuzzPeer},
                                    Target{"platform", fuzzPlatform},
                                    Target{"rawheader", fuzzRawHeader}};
    return all;
}

}
