#include "papayastep/routing/serverannouncement.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace papayastep::routing;

BOOST_AUTO_TEST_SUITE(serverAnnouncement)

BOOST_AUTO_TEST_CASE(limit_asADecimalNumber_isRead)
{
    BOOST_TEST(readAnnouncement("3.4", "").requestsPerSecond.value() == 3.4);
    BOOST_TEST(readAnnouncement("12", "").requestsPerSecond.value() == 12);
    BOOST_TEST(readAnnouncement("0", "").requestsPerSecond.value() == 0);
}

BOOST_AUTO_TEST_CASE(answer_withoutHeaders_announcesNothing)
{
    BOOST_CHECK(readAnnouncement("", "") == ServerAnnouncement());
}

// Guards against a limit of infinity, of a negative number or of a part of the text.
BOOST_AUTO_TEST_CASE(limit_thatIsNoDecimalNumber_isReportedAsUnreadable)
{
    for (const std::string text : {"-1", "nan", "inf", "infinity", "1e9", "3,4", "3.4/s", "many", " 3", "0x10"}) {
        const ServerAnnouncement announcement = readAnnouncement(text, "");
        BOOST_TEST(!announcement.isLimitReadable, text);
        BOOST_TEST(!announcement.requestsPerSecond.has_value(), text);
    }
}

BOOST_AUTO_TEST_CASE(leaving_isAnnouncedByOneOnly)
{
    BOOST_TEST(readAnnouncement("", "1").isLeaving);
    BOOST_TEST(!readAnnouncement("", "0").isLeaving);
    BOOST_TEST(!readAnnouncement("", "true").isLeaving);
}

BOOST_AUTO_TEST_SUITE_END()
