#include "papayastep/node/transfercounters.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep;
using namespace papayastep::node;

BOOST_FIXTURE_TEST_SUITE(transferCounters, TransferCounters)

// Guards against a purpose whose bytes can't be told from those of another one.
BOOST_AUTO_TEST_CASE(bytes_ofEachPurpose_areCountedApartByZone)
{
    for (std::size_t number = 0; number < transferPurposes; ++number) {
        const auto purpose = static_cast<TransferPurpose>(number);
        record(purpose, true, 10 + number);
        record(purpose, false, 100);
        BOOST_TEST(bytes(purpose, true) == 10 + number);
        BOOST_TEST(bytes(purpose, false) == 100U);
        BOOST_TEST(name(purpose) != "unknown");
    }
}

BOOST_AUTO_TEST_CASE(message_ofAKind_isCountedForItsPurpose)
{
    BOOST_TEST((purposeOf(wire::MessageKind::SlotQuery) == TransferPurpose::SlotQuestion));
    BOOST_TEST((purposeOf(wire::MessageKind::PoolAsk) == TransferPurpose::RateLimit));
    BOOST_TEST((purposeOf(wire::MessageKind::SiblingState) == TransferPurpose::Siblings));
    BOOST_TEST((purposeOf(wire::MessageKind::LedgerClaim) == TransferPurpose::Other));
}

BOOST_AUTO_TEST_SUITE_END()
