#pragma once

#include "papayastep/testing/httpserver.h"

#include <chrono>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace papayastep::testing {

/// Faults of a backend server. /health reports "ok" under every fault except Refuse, because real health endpoints can
/// report a failing server as healthy.
enum class FaultKind {
    None,
    Slow, ///< Requests take `factor` times as long.
    Errors, ///< A share `ratio` of the requests fails with 500, half of them after the action has run.
    Hang, ///< A share `ratio` of the requests gets no response, half of them after the action has run.
    HalfAlive, ///< The health and load endpoints respond normally; every other request fails with 500 before it runs.
    Partial, ///< A share `ratio` of the responses is cut off half-way.
    Flap, ///< The server alternates between None and Errors every `period` seconds.
    Refuse, ///< Connections are refused.
    Pause, ///< The server processes nothing until the fault is changed, then sends the responses late.
    Shed, ///< A share `ratio` of the requests is refused with 503 and Retry-After, as under overload.
    Limit, ///< The server works normally and names a limit of `rate` requests per second in each answer.
    Leave, ///< The server works normally and announces its end in each answer.
    End, ///< The server ends when it runs a request whose target contains `target`, and then refuses connections.
};

struct Fault
{
    FaultKind kind = FaultKind::None;
    double factor = 10;
    double ratio = 1;
    double period = 2;
    double rate = 1;
    std::string target;
};

struct BackendSettings
{
    int slots = 5;
    double serviceTimeMs = 5; ///< Median of the log-normally distributed service times.
    double sigma = 0.25;
    double coldSeconds = 0; ///< Time after the start during which requests take `coldFactor` times as long.
    double coldFactor = 5;
    std::uint64_t seed = 1;
};

/// Stand-in for one backend server. It responds to any method and path with an echo of the request, so that a caller
/// can check that the response is complete and belongs to its request. GET /scans/N returns N bytes, with their SHA-256
/// in X-Sha256. POST, PUT, PATCH and DELETE run an action half-way through the service time; a request that is
/// cancelled earlier does not run its action.
class BackendStandIn
{
public:
    BackendStandIn(boost::asio::io_context &context, std::uint16_t port, const BackendSettings &settings);

    std::uint16_t port() const;
    void setFault(const Fault &fault);

    /// Returns the actions that have run on this server, and its counters.
    nlohmann::json record() const;

    /// Returns the start time of each request, as [time, workspace].
    nlohmann::json arrivals() const;

    /// Sets the callers' keys, which no request may contain in a header.
    void watchForKeys(std::vector<std::string> keys);

private:
    enum class WorkResult { Done, CallerGone };
    using Answer = boost::asio::awaitable<std::optional<Response>>;

    Answer answer(Stream &stream, const Request &request);
    Answer answerUnannounced(Stream &stream, const Request &request);
    void announce(Response &response) const;
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
    bool m_ended = false; ///< Whether the server ended by FaultKind::End.
    std::uint64_t m_keysSeen = 0;
    std::vector<std::string> m_keys;
    std::vector<std::pair<double, std::string>> m_arrivals;
    nlohmann::json m_actions = nlohmann::json::array();
    nlohmann::json m_reportedLoad;
    std::chrono::steady_clock::time_point m_loadReportedAt;
    boost::asio::steady_timer m_faultChanged;
    HttpServer m_server;
};

/// Several backend servers in one process, with one control interface on every port and on `controlPort` if not 0:
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
