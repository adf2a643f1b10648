#include "papayastep/wire/hop.h"
#include "papayastep/wire/seal.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::wire;

namespace {

struct SealedHop
{
    SealedHop()
    {
        request.requestHigh = 1;
        request.requestLow = 2;
        request.attempt = 3;
        request.server = base::BackendServerId("van-1");
        header = codec.sealRequest(request, "POST", "/refunds", "body");
    }
    static bool isUnauthenticated(const base::Error &error)
    {
        return error.code() == base::ResultCode::HopUnauthenticated;
    }
    static bool isRefused(const base::Error &error)
    {
        return isUnauthenticated(error) || error.code() == base::ResultCode::HopMalformed;
    }

    HopCodec codec{"a fleet secret of tests"};
    HopRequest request;
    std::string header;
};

}

BOOST_FIXTURE_TEST_CASE(hop_sealedAndOpened_isUnchanged, SealedHop)
{
    BOOST_TEST((codec.openRequest(header, "POST", "/refunds", "body") == request));
}

// Guards against nodes that refuse the hops of nodes that join the pieces of a request before they authenticate it.
BOOST_AUTO_TEST_CASE(tag_ofPieces_isThatOfTheJoinedPart)
{
    const std::string key = deriveKey("a secret of the test alone", "hop");
    BOOST_TEST((tagOfPieces(key, "header", {"POST", " ", "/refunds"}) == tagOf(key, {"header", "POST /refunds"})));
    BOOST_TEST((tagOfPieces(key, "header", {"POST"}) != tagOf(key, {"headerPOST", ""})));
}

// Guards against a request that is changed on the network on its way to a serving node, for example to refund another
// amount.
BOOST_FIXTURE_TEST_CASE(hop_withAnyPartChanged_isRefused, SealedHop)
{
    BOOST_CHECK_EXCEPTION(codec.openRequest(header, "PUT", "/refunds", "body"), base::Error, isUnauthenticated);
    BOOST_CHECK_EXCEPTION(codec.openRequest(header, "POST", "/refund", "body"), base::Error, isUnauthenticated);
    BOOST_CHECK_EXCEPTION(codec.openRequest(header, "POST", "/refunds", "bodx"), base::Error, isUnauthenticated);
    BOOST_CHECK_EXCEPTION(codec.openRequest(header, "POST", "/refunds", ""), base::Error, isUnauthenticated);
    for (std::size_t at = 0; at < header.size(); ++at) {
        std::string bad = header;
        bad[at] = bad[at] == 'A' ? 'B' : 'A';
        BOOST_CHECK_EXCEPTION(codec.openRequest(bad, "POST", "/refunds", "body"), base::Error, isRefused);
    }
}

BOOST_FIXTURE_TEST_CASE(hop_ofAnotherFleetOrTruncated_isRefused, SealedHop)
{
    const HopCodec otherFleet("another secret of tests");
    BOOST_CHECK_EXCEPTION(otherFleet.openRequest(header, "POST", "/refunds", "body"), base::Error, isUnauthenticated);
    for (std::size_t size = 0; size < header.size(); ++size) {
        BOOST_CHECK_EXCEPTION(
            codec.openRequest(header.substr(0, size), "POST", "/refunds", "body"), base::Error, isRefused);
    }
    BOOST_CHECK_EXCEPTION(
        codec.openRequest(std::string(8193, 'A'), "POST", "/refunds", "body"), base::Error, isRefused);
}

// A late reply to one request is received for another. Its ids and attempt distinguish it, and a request header is
// never accepted as a reply.
BOOST_FIXTURE_TEST_CASE(hopReply_ofAnotherRequest_isDistinguished, SealedHop)
{
    HopReply reply;
    reply.requestHigh = request.requestHigh;
    reply.requestLow = request.requestLow + 1;
    reply.attempt = request.attempt;
    const HopReply opened = codec.openReply(codec.sealReply(reply));
    BOOST_TEST((opened == reply));
    BOOST_TEST((opened.requestId() != request.requestId()));
    BOOST_CHECK_EXCEPTION(codec.openReply(header), base::Error, isUnauthenticated);
    BOOST_CHECK_EXCEPTION(
        codec.openRequest(codec.sealReply(reply), "POST", "/refunds", "body"), base::Error, isUnauthenticated);
}

// Five bytes announce four billion fields, or arrays are nested very deeply. Guards against a receiver that runs out of
// memory because of them.
BOOST_AUTO_TEST_CASE(message_announcingMoreThanItHolds_isRefused)
{
    for (const std::string &bytes : {std::string("\xdd\xff\xff\xff\xff"),
                                     std::string("\xdf\xff\xff\xff\xff"),
                                     std::string("\xdb\xff\xff\xff\xff"),
                                     std::string("\x91\xdd\xff\xff\xff\xff"),
                                     std::string(100'000, '\x91')}) {
        BOOST_CHECK_EXCEPTION(decode<HopReply>(bytes), base::Error, [](const base::Error &error) {
            return error.code() == base::ResultCode::MessageMalformed;
        });
    }
}
