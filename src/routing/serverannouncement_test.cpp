#include "papayastep/routing/serverannouncement.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep::routing;

BOOST_AUTO_TEST_SUITE(serverAnnouncement)

BOOST_AUTO_TEST_CASE(limit_asADecimalNumber_isRead)
{
    BOOST_CHECK((readLimit({"3.4"}) == NamedLimit{3.4, true}));
    BOOST_CHECK((readLimit({"12"}) == NamedLimit{12, true}));
    BOOST_CHECK((readLimit({"0"}) == NamedLimit{0, true}));
    BOOST_CHECK((readLimit({"90000000000"}) == NamedLimit{9e10, true}));
}

BOOST_AUTO_TEST_CASE(answer_withoutTheField_namesNoLimit)
{
    BOOST_CHECK((readLimit({}) == NamedLimit{std::nullopt, true}));
}

// Guards against a limit of infinity, of a negative number or of a part of the text.
BOOST_AUTO_TEST_CASE(limit_thatIsNoDecimalNumber_isReportedAsUnreadable)
{
    for (const std::string_view text :
         {"", "-1", "nan", "inf", "infinity", "1e9", "3,4", "3.4/s", "many", " 3", "0x10"}) {
        BOOST_CHECK_MESSAGE((readLimit({text}) == NamedLimit{std::nullopt, false}), text);
    }
}

// Guards against the higher one of two limits in an answer.
BOOST_AUTO_TEST_CASE(limit_namedTwice_isTheLowerOne)
{
    BOOST_CHECK((readLimit({"5", "3"}) == NamedLimit{3, true}));
    BOOST_CHECK((readLimit({"5", "soon"}) == NamedLimit{5, false}));
}

BOOST_AUTO_TEST_SUITE_END()
