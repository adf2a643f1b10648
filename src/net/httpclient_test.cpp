#include "papayastep/base/clock.h"
#include "papayastep/net/httpclient.h"
#include "papayastep/net/task.h"

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace papayastep;

namespace {

/// An exchange with a server that answers with the bytes that a test gives.
struct ExchangeFixture
{
    ExchangeFixture()
    {
        net::ClientRequest request;
        request.head.method(net::http::verb::get);
        request.head.target("/");
        net::spawnTask(context, "exchange", [this, request]() -> net::Awaitable<void> {
            constexpr std::size_t bufferBytes = 1024;
            co_await exchange.run(request, bufferBytes);
            ended = true;
        });
        context.poll();
        server = acceptor.accept();
    }

    /// Sends `bytes` in parts that fit into the buffers of the connection, and lets the exchange read each part.
    void answer(std::string_view bytes)
    {
        constexpr std::size_t partBytes = 4096;
        net::beast::error_code error;
        for (; !bytes.empty() && !error; bytes.remove_prefix(std::min(partBytes, bytes.size()))) {
            net::asio::write(server, net::asio::buffer(bytes.data(), std::min(partBytes, bytes.size())), error);
            context.poll();
        }
    }

    const base::SystemClock clock;
    net::asio::io_context context{1};
    net::asio::io_context serverContext;
    net::tcp::acceptor acceptor{serverContext, {net::asio::ip::make_address("127.0.0.1"), 0}};
    net::HttpPool pool{context, clock, {}};
    net::HttpExchange exchange{context, pool, {"127.0.0.1", acceptor.local_endpoint().port()}};
    net::tcp::socket server{serverContext};
    bool ended = false;
};

}

// A faulty backend server sends a trailer field after its answer that is longer than Beast can count, and Beast throws.
// Guards against an exception that ends the node, and with it the requests of all its callers.
BOOST_FIXTURE_TEST_CASE(exchange_trailerLongerThanTheLibrarySupports_fails, ExchangeFixture)
{
    answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nLong: " + std::string(70'000, 'x') + "\r\n\r\n");
    BOOST_TEST(ended);
    BOOST_TEST((exchange.failure() != net::ExchangeFailure::None));
}
