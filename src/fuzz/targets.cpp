#include "../net/pipelinewindow.h"
#include "../net/requesthead.h"
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
#include <deque>
#include <iterator>
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

/// Handles a pipeline without a network: the number of fields of a head decides how many answers are sent before it.
class PipelineReplay
{
public:
    PipelineReplay()
    {
        m_window.setBounds({maxOpen, maxWaitingBytes});
    }

    void run(std::string_view bytes)
    {
        while (!m_window.isClosed()) {
            const auto block = net::checkHeadBlock({bytes.data(), bytes.size()}, maxHeaderBytes);
            if (!block.isComplete || block.code != base::ResultCode::Ok) {
                break;
            }
            net::RequestParser parser;
            boost::beast::error_code error;
            parser.eager(false);
            parser.header_limit(maxHeaderBytes);
            parser.body_limit(maxHeaderBytes);
            bytes.remove_prefix(parser.put({bytes.data(), bytes.size()}, error));
            if (error || !parser.is_header_done()) {
                break;
            }
            const auto &head = parser.get();
            answer(static_cast<std::size_t>(std::distance(head.begin(), head.end())) % maxOpen);
            start(net::pipelinedRequestOf(parser));
            if (!parser.is_done()) {
                break;
            }
        }
        answer(m_open.size());
    }

private:
    static constexpr std::size_t maxOpen = 4;
    static constexpr std::size_t maxWaitingBytes = 100;
    static constexpr std::uint32_t maxHeaderBytes = 16 * 1024;

    static void require(bool condition, const char *rule)
    {
        if (!condition) {
            throw std::logic_error(rule);
        }
    }

    void start(const net::PipelinedRequest &request)
    {
        while (!m_window.mayStart(request.isSafe) && !m_open.empty()) {
            answer(1);
        }
        if (!m_window.mayStart(request.isSafe)) {
            return;
        }
        require(!m_closed, "a request was started behind a closing answer");
        require(m_open.empty() || (request.isSafe && m_open.back().isSafe), "an unsafe request ran beside another");
        require(m_open.empty() || !m_open.back().isLast, "a request was started behind the last one");
        const auto number = m_window.start(request);
        m_open.push_back(request);
        require(m_open.size() <= maxOpen, "too many requests were started");
        if (!m_window.isFirst(number)) {
            m_window.addWaiting(number, maxWaitingBytes / 2);
        }
    }

    void answer(std::size_t count)
    {
        for (; count > 0 && !m_open.empty(); --count) {
            const bool closes = m_window.closesWithFirst(m_open.front().isLast);
            require(!closes || m_open.size() == 1, "an answer before the last one closes the connection");
            require(closes || !m_open.front().isLast, "the last answer does not close the connection");
            m_closed = m_closed || closes;
            m_window.finishFirst();
            m_open.pop_front();
        }
    }

    net::PipelineWindow m_window;
    std::deque<net::PipelinedRequest> m_open;
    bool m_closed = false;
};

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

void fuzzPipeline(std::string_view bytes)
{
    PipelineReplay().run(bytes);
}

std::span<const Target> targets()
{
    static constexpr std::array all{Target{"configuration", fuzzConfiguration},
                                    Target{"hop", fuzzHop},
                                    Target{"peer", fuzzPeer},
                                    Target{"pipeline", fuzzPipeline},
                                    Target{"platform", fuzzPlatform},
                                    Target{"rawheader", fuzzRawHeader}};
    return all;
}

}
