#define BOOST_TEST_MODULE papayastep
#include <boost/test/unit_test.hpp>
