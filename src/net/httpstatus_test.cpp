#include "papayastep/net/httpstatus.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep::net;

// Guards against taking a number for a status that no recipient can interpret.
BOOST_AUTO_TEST_CASE(number_outsideTheRangeOfStatuses_isInvalid)
{
    for (const unsigned status : {0U, 1U, 99U, 101U, 600U, 700U, 999U}) {
        BOOST_TEST((statusKind(status) == StatusKind::Invalid), status);
    }
    for (const unsigned status : {100U, 102U, 103U, 199U}) {
        BOOST_TEST((statusKind(status) == StatusKind::Interim), status);
    }
    for (const unsigned status : {200U, 204U, 209U, 399U, 460U, 520U, 599U}) {
        BOOST_TEST((statusKind(status) == StatusKind::Final), status);
    }
}

// Guards against answers without an end: a status that the library has no name for has a body like any other.
BOOST_AUTO_TEST_CASE(status_thatIsNotRegistered_mayHaveABody)
{
    for (const unsigned status : {200U, 209U, 299U, 460U, 520U}) {
        BOOST_TEST(mayHaveBody(status), status);
    }
    for (const unsigned status : {100U, 204U, 304U}) {
        BOOST_TEST(!mayHaveBody(status), status);
    }
    BOOST_TEST(mayHaveLength(304));
    BOOST_TEST(!mayHaveLength(204));
}
