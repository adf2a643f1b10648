#include "papayastep/net/callstatistics.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(callBook_withCallsOfTwoKinds_keepsThemApart)
{
    net::CallStatistics book;
    book.record("list", base::ResultCode::Ok, 4ms);
    book.record("watch", base::ResultCode::Ok, 600ms);
    book.record("watch", base::ResultCode::Ok, 500ms);
    book.record("watch", base::ResultCode::PlatformUnreachable, 1s);

    BOOST_TEST(book.totals().size() == 3U);
    BOOST_TEST((book.totals().at({"watch", "ok"}) == net::CallTotal{2, 1100ms}));
    BOOST_TEST((book.totals().at({"watch", "6001"}) == net::CallTotal{1, 1s}));
}
