#include "pipelinewindow.h"

#include <boost/test/unit_test.hpp>

using namespace papayastep::net;

namespace {

constexpr PipelinedRequest safe{true, false};
constexpr PipelinedRequest unsafe{false, false};
constexpr PipelinedRequest last{true, true};

struct WindowFixture
{
    WindowFixture()
    {
        window.setBounds({3, 100});
    }
    PipelineWindow window;
};

}

BOOST_FIXTURE_TEST_SUITE(pipelineWindow, WindowFixture)

// Guards against a request with effects that runs beside another one, which its caller may have meant to come first.
BOOST_AUTO_TEST_CASE(start_unsafeRequest_waitsForAllAndHoldsBackAll)
{
    window.start(safe);
    BOOST_TEST(window.mayStart(true));
    BOOST_TEST(!window.mayStart(false));
    window.finishFirst();
    BOOST_TEST(window.mayStart(false));
    window.start(unsafe);
    BOOST_TEST(!window.mayStart(true));
    BOOST_TEST(!window.mayRead());
    window.finishFirst();
    BOOST_TEST(window.mayStart(true));
}

// Guards against unlimited memory for a caller that sends requests and reads no answers.
BOOST_AUTO_TEST_CASE(start_atABound_waits)
{
    window.start(safe);
    const auto second = window.start(safe);
    window.addWaiting(second, 100);
    BOOST_TEST(window.isAtBound());
    BOOST_TEST(!window.mayStart(true));
    window.finishFirst();
    BOOST_TEST(!window.mayStart(true));
    window.finishFirst();
    BOOST_TEST(window.mayStart(true));
    for (int count = 0; count < 3; ++count) {
        window.start(safe);
    }
    BOOST_TEST(window.isAtBound());
    BOOST_TEST(!window.mayRead());
}

// Guards against a request that has run behind an answer with `Connection: close`: its caller sends it again.
BOOST_AUTO_TEST_CASE(closesWithFirst_severalOpen_onlyTheLastCloses)
{
    window.start(safe);
    window.start(safe);
    BOOST_TEST(!window.closesWithFirst(true));
    BOOST_TEST(!window.mayStart(true));
    window.finishFirst();
    BOOST_TEST(window.closesWithFirst(false));
    BOOST_TEST(window.isClosed());
    window.finishFirst();
    BOOST_TEST(!window.mayStart(true));
}

BOOST_AUTO_TEST_CASE(start_behindALastRequest_isRefused)
{
    window.start(last);
    BOOST_TEST(!window.mayRead());
    BOOST_TEST(window.closesWithFirst(false));
}

// A planned stop comes while a request is being read on an idle connection. Guards against dropping the request.
BOOST_AUTO_TEST_CASE(end_withoutOpenRequest_startsOneMore)
{
    window.end();
    BOOST_TEST(window.mayStart(false));
    window.start(safe);
    BOOST_TEST(!window.mayStart(true));
    BOOST_TEST(window.closesWithFirst(false));
}

BOOST_AUTO_TEST_SUITE_END()
