#pragma once

#include "papayastep/testing/httpserver.h"

#include <chrono>
#include <deque>
#include <memory>
#include <random>
#include <vector>

namespace papayastep::testing {

/// How a backend server misbehaves. /health says "ok" under all of them but Refuse: health endpoints mislead.
enum class FaultKind {
    None,
    Slow, ///< Work takes `factor` times as long.
    Errors, ///< A share `ratio` of the requests gets 500; half of these after the action has run.
    Hang, ///< A share `ratio` never gets an answer; half of these after the action has run.
    HalfAlive, ///< Health and load endpoints answer well, all work gets 500 without running.
    Partial, ///< A share `ratio` of the answers is cut half-way.
    Flap, ///< Changes between None and Errors every `period` seconds.
    Refuse, ///< Connections are refused.
    Pause, ///< Everything stands still until the fault is changed, then answers come late.
    Shed, ///< A share `ratio` is refused with 503 and Retry-After, as overload.
};

struct Fault
{
    FaultKind kind = FaultKind::None;
    double factor = 10;
    double ratio = 1;
    double period = 2;
};

struct BackendSettings
{
    int slots = 5;
    double serviceTimeMs = 5; ///< Median; the times are log-normal.
    double sigma = 0.25;
    double coldSeconds = 0; ///< For so long after the start work takes `coldFactor` times as long.
    double coldFactor = 5;
    std::uint64_t seed = 1;
};

/// One backend server. Any method and path is answered with an echo of what came, so that a caller can check that
/// the answer is whole and its own. GET /scans/N answers N bytes and their SHA-256 in X-Sha256.
/// POST, PUT, PATCH and DELETE run an action half-way through the work; a request cancelled before does not run.
class BackendStandIn
{
public:
    BackendStandIn(boost::asio::io_context &context, std::uint16_t port, const BackendSettings &settings);

    std::uint16_t port() const;
    void setFault(const Fault &fault);

    /// All that ran here: the actions, and counters.
    nlohmann::json record() const;

    /// When each request was started, as [time, workspace].
    nlohmann::json arrivals() const;

    /// Strings that no request may hold in a header: callers' keys.
    void watchForKeys(std::vector<std::string> keys);

private:
    enum class WorkResult { Done, CallerGone };
    using Answer = boost::asio::awaitable<std::optional<Response>>;

    Answer answer(Stream &stream, const Request &request);
    Answer work(Stream &stream, const Request &request);
    Answer workWithSlot(Stream &stream, const Request &request);
    boost::asio::awaitable<WorkResult> spend(Stream &stream, std::chrono::duration<double> time);
    boost::asio::awaitable<WorkResult> hang(Stream &stream);
    boost::asio::awaitable<void> waitWhilePaused();
    boost::asio::awaitable<void> writeHalf(Stream &stream, Response response);

    FaultKind faultNow() const;
    bool draw(double ratio);
    double drawServiceSeconds(FaultKind fault);
    void noteRequest(const Request &request);
    void commit(const Request &request);
    Response echo(const Request &request) const;
    nlohmann::json load();

    BackendSettings m_settings;
    Fault m_fault;
    std::chrono::steady_clock::time_point m_faultStart;
    std::chrono::steady_clock::time_point m_started;
    std::mt19937_64 m_random;
    int m_busy = 0;
    int m_maxBusy = 0;
    std::uint64_t m_shed = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_keysSeen = 0;
    std::vector<std::string> m_keys;
    std::vector<std::pair<double, std::string>> m_arrivals;
    nlohmann::json m_actions = nlohmann::json::array();
    nlohmann::json m_reportedLoad;
    std::chrono::steady_clock::time_point m_loadReportedAt;
    boost::asio::steady_timer m_faultChanged;
    HttpServer m_server;
};

/// Many backend servers of one process, with one control surface on every port and on `controlPort` if not 0:
///   PUT /control/fault     {"port": P, "kind": "slow", "factor": 10, "ratio": 0.33, "period": 2}
///   PUT /control/keys      {"keys": ["..."]}
///   GET /control/record?port=P, GET /control/arrivals?port=P
class BackendFleet
{
public:
    BackendFleet(boost::asio::io_context &context,
                 const std::vector<std::uint16_t> &ports,
                 std::uint16_t controlPort,
                 BackendSettings settings);

private:
    Response control(const Request &request);
    BackendStandIn &server(std::uint16_t port);

    std::vector<std::unique_ptr<BackendStandIn>> m_servers;
    HttpServer m_control;
};

}
