#include "papayastep/testing/backend.h"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>
#include <stdexcept>

namespace papayastep::testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using nlohmann::json;
using std::chrono::steady_clock;

NLOHMANN_JSON_SERIALIZE_ENUM(FaultKind,
                             {{FaultKind::None, "none"},
                              {FaultKind::Slow, "slow"},
                              {FaultKind::Errors, "errors"},
                              {FaultKind::Hang, "hang"},
                              {FaultKind::HalfAlive, "half-alive"},
                              {FaultKind::Partial, "partial"},
                              {FaultKind::Flap, "flap"},
                              {FaultKind::Refuse, "refuse"},
                              {FaultKind::Pause, "pause"},
                              {FaultKind::Shed, "shed"},
                              {FaultKind::Limit, "limit"},
                              {FaultKind::Leave, "leave"},
                              {FaultKind::End, "end"}})

namespace {

constexpr std::string_view scanPrefix = "/scans/";
constexpr std::chrono::seconds loadReportLag(1);
constexpr std::size_t maxScanBytes = 64'000'000;

bool isAction(const Request &request)
{
    return request.method() == http::verb::post || request.method() == http::verb::put
        || request.method() == http::verb::patch || request.method() == http::verb::delete_;
}

std::string header(const Request &request, std::string_view name)
{
    return std::string(request[boost::string_view(name.data(), name.size())]);
}

/// Returns the caller's identifier of the action: the header X-Action, or else the field "action" of a JSON body.
std::string actionId(const Request &request)
{
    std::string fromHeader = header(request, "X-Action");
    if (!fromHeader.empty()) {
        return fromHeader;
    }
    const json body = json::parse(request.body(), nullptr, false);
    return body.is_object() ? body.value("action", "") : "";
}

/// Generates the same bytes for the same size, so that a caller can check them.
std::string scanOfSize(std::size_t bytes)
{
    std::string text(bytes, '\0');
    std::minstd_rand generator(static_cast<unsigned>(bytes) + 1);
    std::generate(text.begin(), text.end(), [&generator] { return static_cast<char>('a' + generator() % 26); });
    return text;
}

std::string sha256(const std::string &text)
{
    std::array<unsigned char, crypto_hash_sha256_BYTES> digest{};
    crypto_hash_sha256(digest.data(), reinterpret_cast<const unsigned char *>(text.data()), text.size());
    std::array<char, 2 * crypto_hash_sha256_BYTES + 1> hex{};
    return sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
}

Response statusResponse(const Request &request, http::status status, const json &body)
{
    return jsonResponse(request, static_cast<unsigned>(status), body);
}

Response shedResponse(const Request &request)
{
    Response response = statusResponse(request, http::status::service_unavailable, {{"shed", true}});
    response.set(http::field::retry_after, "1");
    return response;
}

}

BackendStandIn::BackendStandIn(asio::io_context &context, std::uint16_t port, const BackendSettings &settings)
    : m_settings(settings)
    , m_faultStart(steady_clock::now())
    , m_started(steady_clock::now())
    , m_random(settings.seed * 1'000'003 + port)
    , m_faultChanged(context, steady_clock::time_point::max())
    , m_server(context, port, [this](Stream &stream, const Request &request) { return answer(stream, request); })
{
}

std::uint16_t BackendStandIn::port() const
{
    return m_server.port();
}

void BackendStandIn::setFault(const Fault &fault)
{
    m_fault = fault;
    m_faultStart = steady_clock::now();
    m_faultChanged.cancel();
    if (fault.kind == FaultKind::Refuse) {
        m_server.close();
    } else {
        m_server.open();
    }
}

json BackendStandIn::record() const
{
    return {{"port", port()},
            {"actions", m_actions},
            {"started", m_arrivals.size()},
            {"last_start", m_arrivals.empty() ? 0 : m_arrivals.back().first},
            {"shed", m_shed},
            {"cancelled", m_cancelled},
            {"ended", m_ended},
            {"max_busy", m_maxBusy},
            {"keys_seen", m_keysSeen}};
}

json BackendStandIn::arrivals() const
{
    return m_arrivals;
}

void BackendStandIn::watchForKeys(std::vector<std::string> keys)
{
    m_keys = std::move(keys);
}

BackendStandIn::Answer BackendStandIn::answer(Stream &stream, const Request &request)
{
    std::optional<Response> response = co_await answerUnannounced(stream, request);
    if (response) {
        announce(*response);
    }
    co_return response;
}

void BackendStandIn::announce(Response &response) const
{
    if (m_fault.kind == FaultKind::Limit) {
        std::ostringstream rate;
        rate << m_fault.rate;
        response.set("Papayastep-Server-Limit", rate.str());
    } else if (m_fault.kind == FaultKind::Leave) {
        response.set("Papayastep-Server-Leaving", "1");
    }
}

BackendStandIn::Answer BackendStandIn::answerUnannounced(Stream &stream, const Request &request)
{
    co_await waitWhilePaused();
    const std::string path = targetOf(request).path;
    if (path == "/health") {
        co_return statusResponse(request, http::status::ok, {{"status", "ok"}});
    }
    if (path == "/load") {
        co_return statusResponse(request, http::status::ok, load());
    }
    co_return co_await work(stream, request);
}

BackendStandIn::Answer BackendStandIn::work(Stream &stream, const Request &request)
{
    noteRequest(request);
    const bool shedsByFault = faultNow() == FaultKind::Shed && draw(m_fault.ratio);
    if (shedsByFault || m_busy >= m_settings.slots) {
        ++m_shed;
        co_return shedResponse(request);
    }
    m_arrivals.emplace_back(unixTime(), header(request, "Papayastep-Workspace"));
    m_maxBusy = std::max(m_maxBusy, ++m_busy);
    try {
        std::optional<Response> response = co_await workWithSlot(stream, request);
        --m_busy;
        co_return response;
    } catch (const boost::system::system_error &) {
        --m_busy;
        throw;
    }
}

BackendStandIn::Answer BackendStandIn::workWithSlot(Stream &stream, const Request &request)
{
    const FaultKind fault = faultNow();
    const bool faultApplies = draw(m_fault.ratio);
    const bool appliesEarly = draw(0.5);
    const bool fails = (fault == FaultKind::HalfAlive || fault == FaultKind::Errors) && faultApplies;
    const bool hangs = fault == FaultKind::Hang && faultApplies;
    const bool failsEarly = fails && (appliesEarly || fault == FaultKind::HalfAlive);
    if (failsEarly) {
        co_return statusResponse(request, http::status::internal_server_error, {{"error", "fault"}});
    }
    if (hangs && appliesEarly) {
        co_await hang(stream);
        co_return std::nullopt;
    }
    const std::chrono::duration<double> half(drawServiceSeconds(fault) / 2);
    if (co_await spend(stream, half) == WorkResult::CallerGone) {
        ++m_cancelled;
        co_return std::nullopt;
    }
    if (fault == FaultKind::End && request.target().find(m_fault.target) != std::string::npos) {
        m_ended = true;
        m_server.close();
        co_return std::nullopt;
    }
    commit(request);
    co_await spend(stream, half);
    co_await waitWhilePaused();
    if (hangs) {
        co_await hang(stream);
        co_return std::nullopt;
    }
    if (fails) {
        co_return statusResponse(request, http::status::internal_server_error, {{"error", "fault after the action"}});
    }
    Response response = echo(request);
    if (fault == FaultKind::Partial && faultApplies) {
        co_await writeHalf(stream, std::move(response));
        co_return std::nullopt;
    }
    co_return response;
}

asio::awaitable<BackendStandIn::WorkResult> BackendStandIn::spend(Stream &stream, std::chrono::duration<double> time)
{
    struct Wait
    {
        explicit Wait(const asio::any_io_executor &executor)
            : timer(executor)
        {
        }
        asio::steady_timer timer;
        bool callerGone = false;
    };
    auto wait = std::make_shared<Wait>(stream.get_executor());
    wait->timer.expires_after(std::chrono::duration_cast<steady_clock::duration>(time));
    // A caller cancels by closing its connection, which makes the socket readable with no byte to read.
    stream.socket().async_wait(tcp::socket::wait_read, [wait, &stream](boost::system::error_code error) {
        if (error) {
            return;
        }
        std::array<char, 1> byte{};
        boost::system::error_code closed;
        stream.socket().receive(asio::buffer(byte), tcp::socket::message_peek, closed);
        if (closed) {
            wait->callerGone = true;
            wait->timer.cancel();
        }
    });
    boost::system::error_code ignored;
    co_await wait->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    stream.socket().cancel(ignored);
    co_return wait->callerGone ? WorkResult::CallerGone : WorkResult::Done;
}

asio::awaitable<BackendStandIn::WorkResult> BackendStandIn::hang(Stream &stream)
{
    constexpr std::chrono::hours untilTheCallerLeaves(1);
    co_return co_await spend(stream, untilTheCallerLeaves);
}

asio::awaitable<void> BackendStandIn::waitWhilePaused()
{
    while (m_fault.kind == FaultKind::Pause) {
        boost::system::error_code ignored;
        co_await m_faultChanged.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> BackendStandIn::writeHalf(Stream &stream, Response response)
{
    response.keep_alive(true);
    std::ostringstream text;
    text << response;
    const std::string bytes = text.str();
    const std::size_t size = bytes.size() - (response.body().size() + 1) / 2;
    co_await asio::async_write(stream, asio::buffer(bytes.data(), size), asio::use_awaitable);
}

FaultKind BackendStandIn::faultNow() const
{
    if (m_fault.kind != FaultKind::Flap) {
        return m_fault.kind;
    }
    const std::chrono::duration<double> elapsed = steady_clock::now() - m_faultStart;
    const auto phase = static_cast<long>(elapsed.count() / m_fault.period);
    return phase % 2 == 0 ? FaultKind::Errors : FaultKind::None;
}

bool BackendStandIn::draw(double ratio)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < ratio;
}

double BackendStandIn::drawServiceSeconds(FaultKind fault)
{
    std::lognormal_distribution<double> times(std::log(m_settings.serviceTimeMs / 1000), m_settings.sigma);
    const std::chrono::duration<double> age = steady_clock::now() - m_started;
    const double cold = age.count() < m_settings.coldSeconds ? m_settings.coldFactor : 1;
    return times(m_random) * cold * (fault == FaultKind::Slow ? m_fault.factor : 1);
}

void BackendStandIn::noteRequest(const Request &request)
{
    bool holdsKey = request.find(http::field::authorization) != request.end();
    for (const auto &field : request) {
        const std::string value(field.value());
        holdsKey |= std::any_of(m_keys.begin(), m_keys.end(), [&value](const std::string &key) {
            return value.find(key) != std::string::npos;
        });
    }
    m_keysSeen += holdsKey ? 1 : 0;
}

void BackendStandIn::commit(const Request &request)
{
    if (!isAction(request)) {
        return;
    }
    m_actions.push_back({{"method", std::string(request.method_string())},
                         {"path", std::string(request.target())},
                         {"action", actionId(request)},
                         {"requestId", header(request, "Papayastep-Request-Id")},
                         {"workspace", header(request, "Papayastep-Workspace")},
                         {"time", unixTime()}});
}

Response BackendStandIn::echo(const Request &request) const
{
    const std::string path = targetOf(request).path;
    if (path.starts_with(scanPrefix)) {
        Response response(http::status::ok, request.version());
        response.body()
            = scanOfSize(std::min<std::size_t>(std::stoul("0" + path.substr(scanPrefix.size())), maxScanBytes));
        response.set("X-Sha256", sha256(response.body()));
        response.prepare_payload();
        return response;
    }
    return statusResponse(request,
                          http::status::ok,
                          {{"server", port()},
                           {"requestId", header(request, "Papayastep-Request-Id")},
                           {"workspace", header(request, "Papayastep-Workspace")},
                           {"echo",
                            {{"method", std::string(request.method_string())},
                             {"path", std::string(request.target())},
                             {"marker", header(request, "X-Marker")},
                             {"action", actionId(request)},
                             {"bytes", request.body().size()}}}});
}

json BackendStandIn::load()
{
    if (m_reportedLoad.is_null() || steady_clock::now() - m_loadReportedAt > loadReportLag) {
        m_reportedLoad = {{"slots", m_settings.slots}, {"busy", m_busy}};
        m_loadReportedAt = steady_clock::now();
    }
    return m_reportedLoad;
}

BackendFleet::BackendFleet(asio::io_context &context,
                           const std::vector<std::uint16_t> &ports,
                           std::uint16_t controlPort,
                           BackendSettings settings)
    : m_control(
        context, controlPort, [this](Stream &, const Request &request) -> asio::awaitable<std::optional<Response>> {
            co_return control(request);
        })
{
    for (const std::uint16_t port : ports) {
        m_servers.push_back(std::make_unique<BackendStandIn>(context, port, settings));
    }
}

Response BackendFleet::control(const Request &request)
{
    const Target target = targetOf(request);
    try {
        if (target.path == "/control/record") {
            return statusResponse(request, http::status::ok, server(std::stoul(target.value("port", "0"))).record());
        }
        if (target.path == "/control/arrivals") {
            return statusResponse(request, http::status::ok, server(std::stoul(target.value("port", "0"))).arrivals());
        }
        const json body = json::parse(request.body());
        if (target.path == "/control/keys") {
            for (const auto &standIn : m_servers) {
                standIn->watchForKeys(body.at("keys").get<std::vector<std::string>>());
            }
            return statusResponse(request, http::status::ok, json::object());
        }
        if (target.path == "/control/fault") {
            const Fault standard;
            server(body.at("port").get<std::uint16_t>())
                .setFault({body.at("kind").get<FaultKind>(),
                           body.value("factor", standard.factor),
                           body.value("ratio", standard.ratio),
                           body.value("period", standard.period),
                           body.value("rate", standard.rate),
                           body.value("target", standard.target)});
            return statusResponse(request, http::status::ok, json::object());
        }
    } catch (const std::exception &error) {
        return statusResponse(request, http::status::bad_request, {{"error", error.what()}});
    }
    return statusResponse(request, http::status::not_found, {{"error", "unknown control path"}});
}

BackendStandIn &BackendFleet::server(std::uint16_t port)
{
    for (const auto &standIn : m_servers) {
        if (standIn->port() == port) {
            return *standIn;
        }
    }
    throw std::runtime_error("no backend server listens on port " + std::to_string(port));
}

}
