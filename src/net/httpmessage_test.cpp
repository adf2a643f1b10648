#include "papayastep/net/httpmessage.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::net;
using base::ResultCode;

namespace {

struct HeadFixture
{
    HeadFixture()
    {
        head.method(http::verb::post);
        head.target("/refunds");
        head.version(11);
        head.set(http::field::host, "node");
    }

    RequestHead head;
};

struct FieldsFixture
{
    bool isForwarded(const std::string &name)
    {
        to.clear();
        copyEndToEnd(from, to);
        return to.count(name) > 0;
    }

    http::fields from;
    http::fields to;
};

}

BOOST_FIXTURE_TEST_CASE(fields_hopByHop_areNotForwarded, FieldsFixture)
{
    for (const std::string name : {"Connection",
                                   "keep-alive",
                                   "Proxy-Authenticate",
                                   "Proxy-Authorization",
                                   "Proxy-Connection",
                                   "TE",
                                   "Trailer",
                                   "Transfer-Encoding",
                                   "UPGRADE"}) {
        from.set(name, "x");
        BOOST_TEST(!isForwarded(name));
    }
    from.set("X-Shop", "7");
    BOOST_TEST(isForwarded("X-Shop"));
}

// Guards against a caller that sets a reserved field, which a backend server would take for one set by a node.
BOOST_FIXTURE_TEST_CASE(fields_reservedForTheSystem_areNotForwarded, FieldsFixture)
{
    from.set("pApAyAsTeP-Hop", "x");
    from.set("Papayastep-", "x");
    from.set("Papayaste", "x");
    BOOST_TEST(!isForwarded("Papayastep-Hop"));
    BOOST_TEST(!isForwarded("Papayastep-"));
    BOOST_TEST(isForwarded("Papayaste"));
}

// A caller sends two Connection fields. If only the first one were read, a hop-by-hop field would reach the backend
// server.
BOOST_FIXTURE_TEST_CASE(fields_namedByAnyConnectionField_areNotForwarded, FieldsFixture)
{
    from.insert(http::field::connection, "close, X-First");
    from.insert(http::field::connection, "x-second");
    from.set("X-First", "1");
    from.set("X-Second", "2");
    from.set("X-Third", "3");
    BOOST_TEST(!isForwarded("X-First"));
    BOOST_TEST(!isForwarded("X-Second"));
    BOOST_TEST(isForwarded("X-Third"));
}

BOOST_AUTO_TEST_CASE(rawHeader_withStrictLineEnds_isAccepted)
{
    BOOST_TEST((checkRawHeader("GET / HTTP/1.1\r\nHost: a\r\n\r\n") == ResultCode::Ok));
}

// Two servers find different line ends in one header. Guards against a caller that smuggles a second request past the
// key check.
BOOST_AUTO_TEST_CASE(rawHeader_withAmbiguousLineEnds_isRefused)
{
    using namespace std::string_view_literals;
    for (const std::string_view block : {"GET / HTTP/1.1\nHost: a\r\n\r\n"sv,
                                         "\nGET / HTTP/1.1\r\n\r\n"sv,
                                         "GET / HTTP/1.1\rHost: a\r\n\r\n"sv,
                                         "GET / HTTP/1.1\r\nHost: a\r"sv,
                                         "GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n"sv,
                                         "GET / HTTP/1.1\r\nHost: a\r\n\tb\r\n\r\n"sv,
                                         "GET / HTTP/1.1\r\nHost: a\0b\r\n\r\n"sv}) {
        BOOST_TEST((checkRawHeader(block) == ResultCode::RequestMalformed));
    }
}

BOOST_FIXTURE_TEST_CASE(head_withOneLength_isAccepted, HeadFixture)
{
    BOOST_TEST((checkHead(head) == ResultCode::Ok));
    head.set(http::field::content_length, "12");
    BOOST_TEST((checkHead(head) == ResultCode::Ok));
}

// Guards against a body whose end the node and a backend server find in different places, so that the rest is read as
// the request of another caller.
BOOST_FIXTURE_TEST_CASE(head_withAmbiguousLength_isRefused, HeadFixture)
{
    for (const std::string length : {"", "1, 1", "1,2", "+1", "-1", "0x1", "1 2", "one"}) {
        head.set(http::field::content_length, length);
        BOOST_TEST((checkHead(head) == ResultCode::RequestAmbiguousLength), length);
    }
    head.set(http::field::content_length, "1");
    head.insert(http::field::content_length, "1");
    BOOST_TEST((checkHead(head) == ResultCode::RequestAmbiguousLength));
    head.set(http::field::content_length, "1");
    head.set(http::field::transfer_encoding, "chunked");
    BOOST_TEST((checkHead(head) == ResultCode::RequestAmbiguousLength));
}

BOOST_FIXTURE_TEST_CASE(head_withEncodingOtherThanChunked_isRefused, HeadFixture)
{
    head.set(http::field::transfer_encoding, "Chunked");
    BOOST_TEST((checkHead(head) == ResultCode::Ok));
    for (const std::string encoding : {"gzip, chunked", "chunked, chunked", "identity", "xchunked"}) {
        head.set(http::field::transfer_encoding, encoding);
        BOOST_TEST((checkHead(head) == ResultCode::RequestAmbiguousLength), encoding);
    }
    head.set(http::field::transfer_encoding, "chunked");
    head.insert(http::field::transfer_encoding, "chunked");
    BOOST_TEST((checkHead(head) == ResultCode::RequestAmbiguousLength));
}

BOOST_FIXTURE_TEST_CASE(head_withoutOneHostOrPath_isRefused, HeadFixture)
{
    head.target("http://other/refunds");
    BOOST_TEST((checkHead(head) == ResultCode::RequestMalformed));
    head.target("/");
    head.insert(http::field::host, "second");
    BOOST_TEST((checkHead(head) == ResultCode::RequestMalformed));
    head.erase(http::field::host);
    BOOST_TEST((checkHead(head) == ResultCode::RequestMalformed));
    head.version(10);
    BOOST_TEST((checkHead(head) == ResultCode::Ok));
}
