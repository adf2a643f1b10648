#pragma once

#include "papayastep/testing/httpserver.h"

#include <chrono>
#include <deque>
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
    std::vector<std::string> targets; ///< Nodes as "127.0.0.1:PORT", chosen at random for the calls.
    double seconds = 10;
    int connections = 16; ///< Workers of each closed-loop stream.
    double timeoutSeconds = 15;
    std::uint64_t seed = 1;
};

/// A stream of calls with the same properties, read from one object of the plan file {"streams": [..]}.
struct LoadStream
{
    /// Workspace that the responses must name. Empty: not checked (calls sent directly, without the fleet).
    std::string workspace;
    std::string key; ///< Key of the caller. Empty: no key is sent.
    double rate = 0; ///< Calls per second as a Poisson process. 0: closed loop, each worker calls again at once.
    std::string method = "GET";
    std::string path = "/"; ///< "{n}" is replaced by the number of the call.
    std::string body;
    bool idempotencyKey = false;
    double repeatAfter = 0; ///< Seconds after which a share of the calls is repeated through another node. 0: never.
    double repeatRatio = 1;
    bool repeatUnknown = false; ///< Whether calls with an unknown outcome are repeated.
    bool repeatAnswered = false; ///< Whether calls answered with 200 are repeated at once through another node.
    /// Closed loop only: seconds between a response and the next call of the worker. If it is not 0, each worker keeps
    /// one connection, and uses the same node until that node no longer responds.
    double pause = 0;
    /// Closed loop only, without a body and with a safe method: number of calls that each worker keeps unanswered on
    /// its connection. With more than one, `pause` is the time between an answer and the next calls.
    std::size_t pipelined = 1;
    double start = 0; ///< Start of the stream, in seconds since the start of the run.
    double stop = 1e9;
};

/// Sends the calls of a plan and writes a JSON line for each attempt. Latency is counted from the time at which the
/// call was due.
class LoadClient
{
public:
    LoadClient(boost::asio::io_context &context, const LoadSettings &settings);
    ~LoadClient();
    LoadClient(const LoadClient &) = delete;
    LoadClient &operator=(const LoadClient &) = delete;

    /// Starts no new calls; calls in flight run to their end.
    void stop();

    /// Sets the function that is called once all calls have ended.
    void onFinished(std::function<void()> finished);

    /// Returns, per workspace and in total: offered, answered, not_run, unknown, errors, wrong, p50_ms, p99_ms.
    nlohmann::json summary() const;

private:
    using Clock = std::chrono::steady_clock;

    struct Connection;
    using ConnectionPtr = std::unique_ptr<Connection>;
    struct Call;
    struct Attempt;
    struct SentCall
    {
        std::shared_ptr<const Call> call;
        double sentUnix = 0;
        bool isResent = false;
    };
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
    boost::asio::awaitable<void> runPipelined(const LoadStream &stream);
    /// Keeps calls unanswered on one connection until it ends. `calls` are those without an answer so far. Throws if
    /// the connection fails. Returns normally after an answer that closes it, behind which no call has run.
    boost::asio::awaitable<void> pipeline(const LoadStream &stream, std::size_t target, std::deque<SentCall> &calls);
    static bool mayResend(const boost::system::error_code &error, std::deque<SentCall> &calls);
    void noteFailed(std::deque<SentCall> &calls, std::size_t target, const std::string &error);
    boost::asio::awaitable<void> makeCall(std::shared_ptr<const Call> call);
    boost::asio::awaitable<void> repeatLater(std::shared_ptr<const Call> call, std::size_t firstTarget);
    /// `kept` is the connection of a worker that has its own. It is used if it is open, and returned if it can be
    /// reused.
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
