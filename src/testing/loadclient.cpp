#include "papayastep/testing/loadclient.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <stdexcept>

namespace papayastep::testing {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using nlohmann::json;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LoadStream,
                                                workspace,
                                                key,
                                                rate,
                                                method,
                                                path,
                                                body,
                                                idempotencyKey,
                                                repeatAfter,
                                                repeatRatio,
                                                repeatUnknown,
                                                repeatAnswered,
                                                pause,
                                                pipelined,
                                                start,
                                                stop)

namespace {

constexpr std::uint64_t maxBodyBytes = 64'000'000;
constexpr int maxAttempts = 3;
constexpr unsigned answered = 200;
constexpr std::chrono::seconds maxIdle(5);

tcp::endpoint endpointOf(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("target must be ADDRESS:PORT, got " + text);
    }
    return {asio::ip::make_address(text.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

std::string sha256(const std::string &text)
{
    std::array<unsigned char, crypto_hash_sha256_BYTES> digest{};
    crypto_hash_sha256(digest.data(), reinterpret_cast<const unsigned char *>(text.data()), text.size());
    std::array<char, 2 * crypto_hash_sha256_BYTES + 1> hex{};
    return sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

std::chrono::steady_clock::duration seconds(double value)
{
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double>(value));
}

std::string header(const Response &response, std::string_view name)
{
    return std::string(response[boost::string_view(name.data(), name.size())]);
}

}

struct LoadClient::Connection
{
    explicit Connection(asio::io_context &context)
        : stream(context)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    Clock::time_point idleSince;
};

struct LoadClient::Call
{
    const LoadStream &stream;
    std::string action; ///< Identifier that is unique in the run and marks the request and its response.
    std::string path;
    Clock::time_point due;
    double dueUnix;
};

struct LoadClient::Attempt
{
    std::string target;
    double latencyMs = 0;
    double sentUnix = 0;
    double endUnix = 0;
    unsigned status = 0; ///< HTTP status; 0 if no response was received.
    std::string error;
    std::string outcome;
    std::string code;
    std::string retry;
    std::string requestId;
    std::string server;
    bool whole = true;
    bool own = true;
    bool rightWorkspace = true;

    bool leavesOutcomeOpen() const
    {
        return status == 0 || outcome == "unknown";
    }
};

LoadClient::LoadClient(asio::io_context &context, const LoadSettings &settings)
    : m_context(context)
    , m_settings(settings)
    , m_idle(settings.targets.size())
    , m_output(settings.outputFile)
    , m_random(settings.seed)
    , m_start(Clock::now())
{
    std::ifstream plan(settings.planFile);
    m_streams = json::parse(plan).at("streams").get<std::vector<LoadStream>>();
    std::transform(settings.targets.begin(), settings.targets.end(), std::back_inserter(m_targets), endpointOf);
    for (const LoadStream &stream : m_streams) {
        const bool isSafe = stream.method == "GET" || stream.method == "HEAD" || stream.method == "OPTIONS";
        if (stream.pipelined > 1 && (stream.rate > 0 || !isSafe || !stream.body.empty())) {
            throw std::invalid_argument("only closed-loop streams of safe requests without a body can be pipelined");
        }
        if (stream.rate > 0) {
            begin();
            asio::co_spawn(context, runOpenLoop(stream), asio::detached);
            continue;
        }
        for (int worker = 0; worker < settings.connections; ++worker) {
            begin();
            if (stream.pipelined > 1) {
                asio::co_spawn(context, runPipelined(stream), asio::detached);
                continue;
            }
            asio::co_spawn(context, stream.pause > 0 ? runFaithful(stream) : runClosedLoop(stream), asio::detached);
        }
    }
}

LoadClient::~LoadClient() = default;

void LoadClient::stop()
{
    m_stopped = true;
}

void LoadClient::onFinished(std::function<void()> finished)
{
    m_finished = std::move(finished);
}

json LoadClient::summary() const
{
    json result = json::object();
    Tally all;
    const auto write = [&result](const std::string &name, const Tally &tally) {
        result[name] = {{"offered", tally.offered},
                        {"answered", tally.answered},
                        {"not_run", tally.notRun},
                        {"unknown", tally.unknown},
                        {"errors", tally.errors},
                        {"wrong", tally.wrong},
                        {"p50_ms", percentile(tally.latenciesMs, 0.5)},
                        {"p99_ms", percentile(tally.latenciesMs, 0.99)}};
    };
    for (const auto &[workspace, tally] : m_tallies) {
        write(workspace, tally);
        all.offered += tally.offered;
        all.answered += tally.answered;
        all.notRun += tally.notRun;
        all.unknown += tally.unknown;
        all.errors += tally.errors;
        all.wrong += tally.wrong;
        all.latenciesMs.insert(all.latenciesMs.end(), tally.latenciesMs.begin(), tally.latenciesMs.end());
    }
    write("all", all);
    return result;
}

asio::awaitable<void> LoadClient::runOpenLoop(const LoadStream &stream)
{
    std::exponential_distribution<double> gaps(stream.rate);
    asio::steady_timer timer(m_context);
    double at = stream.start;
    for (;;) {
        at += gaps(m_random);
        timer.expires_at(m_start + seconds(at));
        if (at >= std::min(stream.stop, m_settings.seconds) || m_stopped) {
            break;
        }
        co_await timer.async_wait(asio::use_awaitable);
        begin();
        asio::co_spawn(m_context, makeCall(nextCall(stream, timer.expiry())), asio::detached);
    }
    end();
}

asio::awaitable<void> LoadClient::runClosedLoop(const LoadStream &stream)
{
    while (!isOver()) {
        begin();
        co_await makeCall(nextCall(stream, Clock::now()));
    }
    end();
}

asio::awaitable<void> LoadClient::runFaithful(const LoadStream &stream)
{
    std::size_t target = randomTarget();
    ConnectionPtr connection;
    asio::steady_timer timer(m_context);
    while (!isOver()) {
        const Attempt result = co_await attempt(nextCall(stream, Clock::now()), 0, target, &connection);
        if (result.status == 0) {
            target = (target + 1) % m_targets.size();
        }
        timer.expires_after(seconds(stream.pause));
        co_await timer.async_wait(asio::use_awaitable);
    }
    end();
}

asio::awaitable<void> LoadClient::runPipelined(const LoadStream &stream)
{
    std::size_t target = randomTarget();
    std::deque<SentCall> calls;
    while (!isOver() || !calls.empty()) {
        boost::system::error_code error;
        try {
            co_await pipeline(stream, target, calls);
        } catch (const boost::system::system_error &failure) {
            error = failure.code();
        }
        if (error && !mayResend(error, calls)) {
            noteFailed(calls, target, error.message());
        }
        target = error ? (target + 1) % m_targets.size() : target;
    }
    end();
}

/// Returns whether the calls may be sent again after `error`, and marks them as resent. A server may close a connection
/// without open requests while further calls are on their way, so a safe call is sent once more.
bool LoadClient::mayResend(const boost::system::error_code &error, std::deque<SentCall> &calls)
{
    const bool isClosed = error == http::error::end_of_stream || error == asio::error::connection_reset
        || error == asio::error::broken_pipe;
    const bool wasResent = std::any_of(calls.begin(), calls.end(), [](const SentCall &call) { return call.isResent; });
    for (SentCall &call : calls) {
        call.isResent = call.isResent || call.sentUnix > 0;
    }
    return isClosed && !wasResent;
}

asio::awaitable<void> LoadClient::pipeline(const LoadStream &stream, std::size_t target, std::deque<SentCall> &calls)
{
    const auto limit = seconds(m_settings.timeoutSeconds);
    Connection connection(m_context);
    asio::steady_timer timer(m_context);
    std::size_t sent = 0;
    bool isOpen = true;
    if (calls.empty()) {
        calls.push_back({nextCall(stream, Clock::now()), 0});
    }
    connection.stream.expires_after(limit);
    co_await connection.stream.async_connect(m_targets[target], asio::use_awaitable);
    connection.stream.socket().set_option(tcp::no_delay(true));
    while (isOpen && !calls.empty()) {
        while (calls.size() < stream.pipelined && !isOver()) {
            calls.push_back({nextCall(stream, Clock::now()), 0});
        }
        connection.stream.expires_after(limit);
        for (; sent < calls.size(); ++sent) {
            const Request request = requestOf(*calls[sent].call);
            calls[sent].sentUnix = unixTime();
            co_await http::async_write(connection.stream, request, asio::use_awaitable);
        }
        http::response_parser<http::string_body> parser;
        parser.body_limit(maxBodyBytes);
        parser.skip(stream.method == "HEAD");
        co_await http::async_read(connection.stream, connection.buffer, parser, asio::use_awaitable);
        const Response response = parser.release();
        const SentCall first = calls.front();
        calls.pop_front();
        --sent;
        Attempt result;
        result.target = m_settings.targets[target];
        result.sentUnix = first.sentUnix;
        result.endUnix = unixTime();
        result.latencyMs = std::chrono::duration<double, std::milli>(Clock::now() - first.call->due).count();
        judge(*first.call, response, result);
        note(*first.call, result, 0);
        isOpen = response.keep_alive();
        connection.stream.expires_never();
        if (stream.pause > 0) {
            timer.expires_after(seconds(stream.pause));
            co_await timer.async_wait(asio::use_awaitable);
        }
    }
}

void LoadClient::noteFailed(std::deque<SentCall> &calls, std::size_t target, const std::string &error)
{
    for (const SentCall &sent : calls) {
        Attempt result;
        result.target = m_settings.targets[target];
        result.sentUnix = sent.sentUnix > 0 ? sent.sentUnix : unixTime();
        result.endUnix = unixTime();
        result.latencyMs = std::chrono::duration<double, std::milli>(Clock::now() - sent.call->due).count();
        result.error = error;
        note(*sent.call, result, 0);
    }
    calls.clear();
}

asio::awaitable<void> LoadClient::makeCall(std::shared_ptr<const Call> call)
{
    const LoadStream &stream = call->stream;
    std::size_t target = randomTarget();
    if (stream.repeatAfter > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < stream.repeatRatio) {
        begin();
        asio::co_spawn(m_context, repeatLater(call, target), asio::detached);
    }
    for (int number = 0; number < maxAttempts; ++number) {
        const Attempt result = co_await attempt(call, number, target);
        if (stream.repeatAnswered && result.status == answered) {
            co_await attempt(call, maxAttempts, (target + 1) % m_targets.size());
        }
        if (!stream.repeatUnknown || !result.leavesOutcomeOpen()) {
            break;
        }
        target = (target + 1) % m_targets.size();
    }
    end();
}

asio::awaitable<void> LoadClient::repeatLater(std::shared_ptr<const Call> call, std::size_t firstTarget)
{
    asio::steady_timer timer(m_context, call->due + seconds(call->stream.repeatAfter));
    co_await timer.async_wait(asio::use_awaitable);
    co_await attempt(call, maxAttempts, (firstTarget + 1) % m_targets.size());
    end();
}

asio::awaitable<LoadClient::Attempt> LoadClient::attempt(std::shared_ptr<const Call> call,
                                                         int number,
                                                         std::size_t target,
                                                         ConnectionPtr *kept)
{
    Attempt result;
    result.target = m_settings.targets[target];
    result.sentUnix = unixTime();
    const Clock::time_point from = number == 0 ? call->due : Clock::now();
    try {
        co_await exchange(*call, result, target, kept);
    } catch (const boost::system::system_error &error) {
        result.error = error.code().message();
    }
    result.endUnix = unixTime();
    result.latencyMs = std::chrono::duration<double, std::milli>(Clock::now() - from).count();
    note(*call, result, number);
    co_return result;
}

asio::awaitable<void> LoadClient::exchange(const Call &call, Attempt &attempt, std::size_t target, ConnectionPtr *kept)
{
    ConnectionPtr connection = kept == nullptr ? idleConnection(target) : std::move(*kept);
    if (connection && !isUsable(*connection)) {
        connection.reset();
    }
    const auto limit = seconds(m_settings.timeoutSeconds);
    if (!connection) {
        connection = std::make_unique<Connection>(m_context);
        connection->stream.expires_after(limit);
        co_await connection->stream.async_connect(m_targets[target], asio::use_awaitable);
        connection->stream.socket().set_option(tcp::no_delay(true));
    }
    const Request request = requestOf(call);
    connection->stream.expires_after(limit);
    co_await http::async_write(connection->stream, request, asio::use_awaitable);
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxBodyBytes);
    parser.skip(call.stream.method == "HEAD");
    co_await http::async_read(connection->stream, connection->buffer, parser, asio::use_awaitable);
    const Response response = parser.release();
    judge(call, response, attempt);
    connection->stream.expires_never();
    if (!response.keep_alive()) {
        co_return;
    }
    if (kept != nullptr) {
        *kept = std::move(connection);
    } else {
        connection->idleSince = Clock::now();
        m_idle[target].push_back(std::move(connection));
    }
}

std::shared_ptr<const LoadClient::Call> LoadClient::nextCall(const LoadStream &stream, Clock::time_point due)
{
    const std::string number = std::to_string(m_calls++);
    std::string path = stream.path;
    const std::size_t place = path.find("{n}");
    if (place != std::string::npos) {
        path.replace(place, 3, number);
    }
    const std::string action = "a" + std::to_string(m_settings.seed) + "-" + number;
    return std::make_shared<const Call>(Call{stream, action, path, due, unixTime()});
}

LoadClient::ConnectionPtr LoadClient::idleConnection(std::size_t target)
{
    auto &idle = m_idle[target];
    while (!idle.empty()) {
        ConnectionPtr connection = std::move(idle.back());
        idle.pop_back();
        if (isUsable(*connection) && Clock::now() - connection->idleSince < maxIdle) {
            return connection;
        }
    }
    return nullptr;
}

/// Returns whether an idle connection is still open. A request on a connection that the server has closed meanwhile
/// would be recorded as a request that was cut off, which it is not.
bool LoadClient::isUsable(Connection &connection)
{
    boost::system::error_code error;
    tcp::socket &socket = connection.stream.socket();
    socket.non_blocking(true, error);
    std::array<char, 1> byte{};
    socket.receive(asio::buffer(byte), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

Request LoadClient::requestOf(const Call &call) const
{
    const LoadStream &stream = call.stream;
    Request request(http::string_to_verb(stream.method), call.path, 11);
    request.set(http::field::host, "papayastep.test");
    request.set("X-Marker", call.action);
    request.set("X-Action", call.action);
    if (!stream.key.empty()) {
        request.set(http::field::authorization, "Bearer " + stream.key);
    }
    if (stream.idempotencyKey) {
        request.set("Idempotency-Key", call.action);
    }
    request.body() = stream.body;
    request.prepare_payload();
    return request;
}

void LoadClient::judge(const Call &call, const Response &response, Attempt &attempt)
{
    attempt.status = response.result_int();
    attempt.outcome = header(response, "Papayastep-Outcome");
    attempt.code = header(response, "Papayastep-Code");
    attempt.retry = header(response, "Papayastep-Retry");
    attempt.requestId = header(response, "Papayastep-Request-Id");
    attempt.server = header(response, "Papayastep-Server");
    if (attempt.status != 200 || call.stream.method == "HEAD") {
        return;
    }
    const std::string digest = header(response, "X-Sha256");
    if (!digest.empty()) {
        attempt.whole = digest == sha256(response.body());
        return;
    }
    const json body = json::parse(response.body(), nullptr, false);
    attempt.whole = body.is_object() && body.contains("echo");
    if (!attempt.whole) {
        return;
    }
    const json &echo = body["echo"];
    attempt.own = echo.value("marker", "") == call.action && echo.value("path", "") == call.path;
    attempt.rightWorkspace = call.stream.workspace.empty() || body.value("workspace", "") == call.stream.workspace;
}

void LoadClient::note(const Call &call, const Attempt &attempt, int number)
{
    const bool right = attempt.whole && attempt.own && attempt.rightWorkspace;
    m_output << json{{"offered", call.dueUnix},
                     {"sent", attempt.sentUnix},
                     {"end", attempt.endUnix},
                     {"latency_ms", attempt.latencyMs},
                     {"workspace", call.stream.workspace},
                     {"method", call.stream.method},
                     {"path", call.path},
                     {"action", call.action},
                     {"idempotency_key", call.stream.idempotencyKey},
                     {"attempt", number},
                     {"target", attempt.target},
                     {"status", attempt.status},
                     {"error", attempt.error},
                     {"outcome", attempt.outcome},
                     {"code", attempt.code},
                     {"retry", attempt.retry},
                     {"request_id", attempt.requestId},
                     {"server", attempt.server},
                     {"whole", attempt.whole},
                     {"own", attempt.own},
                     {"right_workspace", attempt.rightWorkspace}}
                    .dump()
             << '\n';
    Tally &tally = m_tallies[call.stream.workspace];
    tally.offered += number == 0 ? 1 : 0;
    tally.answered += attempt.status >= 200 && attempt.status < 300 ? 1 : 0;
    tally.notRun += attempt.outcome == "not-run" ? 1 : 0;
    tally.unknown += attempt.outcome == "unknown" ? 1 : 0;
    tally.errors += attempt.status == 0 || attempt.status >= 500 ? 1 : 0;
    tally.wrong += right ? 0 : 1;
    tally.latenciesMs.push_back(attempt.latencyMs);
}

bool LoadClient::isOver() const
{
    return m_stopped || Clock::now() - m_start >= seconds(m_settings.seconds);
}

std::size_t LoadClient::randomTarget()
{
    return std::uniform_int_distribution<std::size_t>(0, m_targets.size() - 1)(m_random);
}

void LoadClient::begin()
{
    ++m_running;
}

void LoadClient::end()
{
    --m_running;
    if (m_running == 0) {
        m_output.flush();
        if (m_finished) {
            m_finished();
        }
    }
}

}
