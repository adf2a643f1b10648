#pragma once

#include "papayastep/testing/httpserver.h"

#include <chrono>
#include <fstream>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace papayastep::testing {

struct LoadSettings
{
    std::string planFile;
    std::string outputFile;
    std::vector<std::string> targets; ///< "127.0.0.1:PORT", the nodes that the calls go to, at random.
    double seconds = 10;
    int connections = 16; ///< Workers of each closed-loop stream.
    double timeoutSeconds = 15;
    std::uint64_t seed = 1;
};

/// A stream of like calls, one object of the plan file {"streams": [..]}.
struct LoadStream
{
    std::string workspace; ///< Whose the answers must be. Empty: not checked (asked directly, without the fleet).
    std::string key; ///< Empty: none is sent.
    double rate = 0; ///< Calls a second, Poisson. 0: closed loop, each worker calls again at once.
    std::string method = "GET";
    std::string path = "/"; ///< "{n}" becomes the number of the call.
    std::string body;
    bool idempotencyKey = false;
    double repeatAfter = 0; ///< Seconds after which a share of the calls is repeated through another node. 0: never.
    double repeatRatio = 1;
    bool repeatUnknown = false; ///< Repeat calls whose outcome the caller does not know.
    bool repeatAnswered = false; ///< Repeat calls that were answered with 200, at once and through another node.
    /// Closed loop only: seconds between an answer and the worker's next call. Not 0: each worker keeps one connection,
    /// and keeps to its node until that does not answer any more.
    double pause = 0;
    double start = 0; ///< Seconds into the run.
    double stop = 1e9;
};

/// Sends the calls of a plan and writes a JSON line for each attempt. Latency counts from when a call was due.
class LoadClient
{
public:
    LoadClient(boost::asio::io_context &context, const LoadSettings &settings);
    ~LoadClient();
    LoadClient(const LoadClient &) = delete;
    LoadClient &operator=(const LoadClient &) = delete;

    /// Starts no new call; those in flight end by themselves.
    void stop();

    /// Called once all calls have ended.
    void onFinished(std::function<void()> finished);

    /// Per workspace and for all: offered, answered, not_run, unknown, errors, wrong, p50_ms, p99_ms.
    nlohmann::json summary() const;

private:
    using Clock = std::chrono::steady_clock;

    struct Connection;
    using ConnectionPtr = std::unique_ptr<Connection>;
    struct Call;
    struct Attempt;
    struct Tally
    {
        std::uint64_t offered = 0;
        std::uint64_t answered = 0;
        std::uint64_t notRun = 0;
        std::uint64_t unknown = 0;
        std::uint64_t errors = 0;
        std::uint64_t wrong = 0;
        std::vector<double> latenciesMs;
    };

    boost::asio::awaitable<void> runOpenLoop(const LoadStream &stream);
    boost::asio::awaitable<void> runClosedLoop(const LoadStream &stream);
    boost::asio::awaitable<void> runFaithful(const LoadStream &stream);
    boost::asio::awaitable<void> makeCall(std::shared_ptr<const Call> call);
    boost::asio::awaitable<void> repeatLater(std::shared_ptr<const Call> call, std::size_t firstTarget);
    /// `kept` is the connection of a worker that has its own: used if it is open, and given back if it can be used on.
    boost::asio::awaitable<Attempt> attempt(std::shared_ptr<const Call> call,
                                            int number,
                                            std::size_t target,
                                            ConnectionPtr *kept = nullptr);
    boost::asio::awaitable<void> exchange(const Call &call, Attempt &attempt, std::size_t target, ConnectionPtr *kept);

    std::shared_ptr<const Call> nextCall(const LoadStream &stream, Clock::time_point due);
    ConnectionPtr idleConnection(std::size_t target);
    static bool isUsable(Connection &connection);
    Request requestOf(const Call &call) const;
    static void judge(const Call &call, const Response &response, Attempt &attempt);
    void note(const Call &call, const Attempt &attempt, int number);
    bool isOver() const;
    std::size_t randomTarget();
    void begin();
    void end();

    boost::asio::io_context &m_context;
    LoadSettings m_settings;
    std::vector<LoadStream> m_streams;
    std::vector<boost::asio::ip::tcp::endpoint> m_targets;
    std::vector<std::vector<ConnectionPtr>> m_idle;
    std::ofstream m_output;
    std::map<std::string, Tally> m_tallies;
    std::mt19937_64 m_random;
    Clock::time_point m_start;
    bool m_stopped = false;
    std::uint64_t m_calls = 0;
    std::uint64_t m_running = 0;
    std::function<void()> m_finished;
};

}
