#include "papayastep/base/error.h"
#include "papayastep/net/endpoint.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::net;

BOOST_AUTO_TEST_CASE(endpoint_parsedAndFormatted_isUnchanged)
{
    for (const std::string text : {"127.0.0.1:80", "[::1]:65535", "0.0.0.0:0"}) {
        BOOST_TEST(toString(parseEndpoint(text)) == text);
    }
    BOOST_TEST((parseEndpoint("[::1]:7") == Endpoint{"::1", 7}));
}

// Guards against a node that listens on a wrong address or calls a wrong VM because a mistyped address was accepted.
BOOST_AUTO_TEST_CASE(endpoint_notAnIpAddressWithPort_isRefused)
{
    using namespace std::string_literals;
    for (const std::string &text : {""s,
                                    ":"s,
                                    ":80"s,
                                    "127.0.0.1"s,
                                    "127.0.0.1:"s,
                                    "127.0.0.1:65536"s,
                                    "127.0.0.1:-1"s,
                                    "127.0.0.1:+1"s,
                                    "127.0.0.1: 1"s,
                                    "127.0.0.1:1x"s,
                                    "[]:1"s,
                                    "[:1"s,
                                    "[::1:1"s,
                                    "localhost:80"s,
                                    "127.0.0.1\0x:80"s}) {
        BOOST_CHECK_EXCEPTION(parseEndpoint(text), base::Error, [](const base::Error &error) {
            return error.code() == base::ResultCode::SettingsSchema;
        });
    }
}
