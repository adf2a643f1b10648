#include "papayastep/testing/faultproxy.h"

#include <array>
#include <set>
#include <stdexcept>

namespace papayastep::testing {

namespace asio = boost::asio;
using asio::ip::tcp;
using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds stallCheckPeriod(5);

tcp::endpoint loopback(std::uint16_t port)
{
    return {asio::ip::address_v4::loopback(), port};
}

LinkFault faultFrom(const json &body)
{
    const std::string drop = body.value("drop", "none");
    LinkFault fault;
    fault.dropToTarget = drop == "to-target" || drop == "both";
    fault.dropToCaller = drop == "to-caller" || drop == "both";
    fault.stall = body.value("stall", fault.stall);
    fault.reset = body.value("reset", fault.reset);
    fault.delayMs = body.value("delayMs", fault.delayMs);
    fault.bytesPerSecond = body.value("bytesPerSecond", fault.bytesPerSecond);
    fault.cutAfter = body.value("cutAfter", fault.cutAfter);
    return fault;
}

void resetSocket(tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

}

struct FaultProxy::Link
{
    Link(asio::io_context &io, std::uint16_t listen, std::uint16_t to)
        : context(io)
        , acceptor(io, loopback(listen))
        , target(to)
    {
    }

    asio::io_context &context;
    tcp::acceptor acceptor;
    std::uint16_t target;
    LinkFault fault;
    std::set<Pair *> pairs;
};

/// One connection through a link, with the socket of the caller and the socket of the target.
struct FaultProxy::Pair
{
    Pair(std::shared_ptr<Link> through, tcp::socket socket)
        : link(std::move(through))
        , caller(std::move(socket))
        , target(link->context)
    {
        link->pairs.insert(this);
    }
    ~Pair()
    {
        link->pairs.erase(this);
    }
    Pair(const Pair &) = delete;
    Pair &operator=(const Pair &) = delete;

    void reset()
    {
        resetSocket(caller);
        resetSocket(target);
    }

    std::shared_ptr<Link> link;
    tcp::socket caller;
    tcp::socket target;
    std::size_t bytesToCaller = 0;
};

FaultProxy::FaultProxy(asio::io_context &context, std::uint16_t controlPort, const std::vector<std::string> &links)
    : m_control(
        context, controlPort, [this](Stream &, const Request &request) -> asio::awaitable<std::optional<Response>> {
            co_return control(request);
        })
{
    for (const std::string &text : links) {
        const std::size_t colon = text.find(':');
        if (colon == std::string::npos) {
            throw std::invalid_argument("link must be LISTEN:TARGET, got " + text);
        }
        const auto listen = static_cast<std::uint16_t>(std::stoul(text.substr(0, colon)));
        const auto target = static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)));
        m_links.push_back(std::make_shared<Link>(context, listen, target));
        asio::co_spawn(context, accept(m_links.back()), asio::detached);
    }
}

asio::awaitable<void> FaultProxy::accept(std::shared_ptr<Link> link)
{
    for (;;) {
        tcp::socket socket = co_await link->acceptor.async_accept(asio::use_awaitable);
        if (link->fault.reset) {
            resetSocket(socket);
            continue;
        }
        asio::co_spawn(link->context, connect(std::make_shared<Pair>(link, std::move(socket))), asio::detached);
    }
}

asio::awaitable<void> FaultProxy::connect(std::shared_ptr<Pair> pair)
{
    boost::system::error_code error;
    co_await pair->target.async_connect(loopback(pair->link->target), asio::redirect_error(asio::use_awaitable, error));
    if (error || !pair->caller.is_open()) {
        pair->reset();
        co_return;
    }
    pair->caller.set_option(tcp::no_delay(true), error);
    pair->target.set_option(tcp::no_delay(true), error);
    asio::co_spawn(pair->link->context, pump(pair, false), asio::detached);
    asio::co_spawn(pair->link->context, pump(pair, true), asio::detached);
}

asio::awaitable<void> FaultProxy::pump(std::shared_ptr<Pair> pair, bool toCaller)
{
    tcp::socket &from = toCaller ? pair->target : pair->caller;
    tcp::socket &to = toCaller ? pair->caller : pair->target;
    const LinkFault &fault = pair->link->fault;
    std::array<char, 65536> bytes{};
    boost::system::error_code error;

    for (;;) {
        std::size_t size
            = co_await from.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        co_await waitAsTold(pair, size);
        const bool drops = toCaller ? fault.dropToCaller : fault.dropToTarget;
        if (drops && !error) {
            continue;
        }
        if (error && drops) {
            // A dropped direction does not forward the close either; the pair ends when the other direction ends.
            co_return;
        }
        if (error) {
            boost::system::error_code ignored;
            to.shutdown(tcp::socket::shutdown_send, ignored);
            co_return;
        }
        const std::size_t left = toCaller ? fault.cutAfter - std::min(fault.cutAfter, pair->bytesToCaller) : size;
        co_await asio::async_write(
            to, asio::buffer(bytes.data(), std::min(size, left)), asio::redirect_error(asio::use_awaitable, error));
        pair->bytesToCaller += toCaller ? size : 0;
        if (error || left < size) {
            boost::system::error_code ignored;
            pair->caller.shutdown(tcp::socket::shutdown_both, ignored);
            pair->target.shutdown(tcp::socket::shutdown_both, ignored);
            co_return;
        }
    }
}

asio::awaitable<void> FaultProxy::waitAsTold(std::shared_ptr<Pair> pair, std::size_t bytes)
{
    const LinkFault &fault = pair->link->fault;
    asio::steady_timer timer(pair->link->context);
    const double transfer = static_cast<double>(bytes) / fault.bytesPerSecond;
    const std::chrono::duration<double> delay(fault.delayMs / 1000 + transfer);
    if (delay.count() > 0) {
        timer.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(delay));
        co_await timer.async_wait(asio::use_awaitable);
    }
    while (fault.stall && pair->caller.is_open()) {
        timer.expires_after(stallCheckPeriod);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

Response FaultProxy::control(const Request &request)
{
    try {
        const json body = json::parse(request.body());
        const auto listen = body.at("listen").get<std::uint16_t>();
        for (const auto &link : m_links) {
            if (link->acceptor.local_endpoint().port() != listen) {
                continue;
            }
            link->fault = faultFrom(body);
            if (link->fault.reset) {
                for (Pair *pair : link->pairs) {
                    pair->reset();
                }
            }
            return jsonResponse(request, 200, json::object());
        }
        return jsonResponse(request, 404, {{"error", "unknown link"}});
    } catch (const json::exception &error) {
        return jsonResponse(request, 400, {{"error", error.what()}});
    }
}

}
