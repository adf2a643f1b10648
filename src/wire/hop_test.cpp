#include "papayastep/wire/hop.h"

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

BOOST_FIXTURE_TEST_CASE(hop_sealedAndOpened_isTheSame, SealedHop)
{
    BOOST_TEST((codec.openRequest(header, "POST", "/refunds", "body") == request));
}

// Somebody on the network changes a request on its way to a serving node. A refund would be paid for another sum.
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

BOOST_FIXTURE_TEST_CASE(hop_ofAnotherFleetOrCutOff_isRefused, SealedHop)
{
    const HopCodec stranger("another secret of tests");
    BOOST_CHECK_EXCEPTION(stranger.openRequest(header, "POST", "/refunds", "body"), base::Error, isUnauthenticated);
    for (std::size_t size = 0; size < header.size(); ++size) {
        BOOST_CHECK_EXCEPTION(
            codec.openRequest(header.substr(0, size), "POST", "/refunds", "body"), base::Error, isRefused);
    }
    BOOST_CHECK_EXCEPTION(
        codec.openRequest(std::string(8193, 'A'), "POST", "/refunds", "body"), base::Error, isRefused);
}

// A late reply to one request meets another. Its ids and attempt tell it apart, and a request never passes as a reply.
BOOST_FIXTURE_TEST_CASE(hopReply_ofAnotherRequest_isToldApart, SealedHop)
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

// Five bytes announce four billion fields, or nest arrays without end. The receiver ran out of memory on them.
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
