#include "papayastep/wire/envelope.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::wire;

namespace {

struct SealedEnvelope
{
    EnvelopeCodec codec{"a fleet secret of tests"};
    Envelope envelope{base::VmId("vm-1"),
                      7,
                      42,
                      3,
                      allCapabilities,
                      MessageKind::TokenRequest,
                      std::string(1000, 'x'),
                      "127.0.0.1:1"};

    base::ResultCode codeOf(const std::string &bytes) const
    {
        try {
            codec.open(bytes);
        } catch (const base::Error &error) {
            return error.code();
        }
        return base::ResultCode::Ok;
    }
};

}

BOOST_FIXTURE_TEST_CASE(envelope_sealedAndOpened_isUnchanged, SealedEnvelope)
{
    BOOST_TEST((codec.open(codec.seal(envelope)) == envelope));
    BOOST_TEST((codec.open(codec.seal(envelope, true)) == envelope));
    BOOST_TEST(codec.seal(envelope, true).size() < codec.seal(envelope).size());
}

// Guards against a message that is changed on the network: the receiver would grant tokens or eject servers because of
// a forged message.
BOOST_FIXTURE_TEST_CASE(envelope_withAnyBitFlipped_isRefused, SealedEnvelope)
{
    const std::string good = codec.seal(envelope);
    for (std::size_t at = 0; at < good.size(); at += 7) {
        std::string bad = good;
        bad[at] = static_cast<char>(bad[at] ^ 1);
        BOOST_TEST((codeOf(bad) == base::ResultCode::MessageUnauthenticated));
    }
    BOOST_TEST((codeOf("short") == base::ResultCode::MessageMalformed));
}

// A newer node sends a layout that this node does not know. Guards against decoding every following field wrongly.
BOOST_FIXTURE_TEST_CASE(envelope_withUnknownLayoutBit_isRefused, SealedEnvelope)
{
    EnvelopeCodec otherFleet("another secret of tests");
    BOOST_TEST((codeOf(otherFleet.seal(envelope)) == base::ResultCode::MessageUnauthenticated));
}

// A recorded message with a valid tag is sent again. Guards against a grant that is counted twice.
BOOST_AUTO_TEST_CASE(replayWindow_messageReceivedBefore_isRefused)
{
    ReplayWindow window;
    const base::VmId sender("vm-1");
    BOOST_TEST(window.accept(sender, 1, 10));
    BOOST_TEST(window.accept(sender, 1, 8));
    BOOST_TEST(!window.accept(sender, 1, 10));
    BOOST_TEST(!window.accept(sender, 1, 8));
    BOOST_TEST(window.accept(sender, 1, 500));
    BOOST_TEST(!window.accept(sender, 1, 10));
    BOOST_TEST(window.accept(sender, 2, 1));
}
