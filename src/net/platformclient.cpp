#include "papayastep/net/platformclient.h"

#include "papayastep/base/error.h"
#include "papayastep/net/httpget.h"

namespace papayastep::net {

namespace {

constexpr std::size_t maxAnswerBytes = 2 * config::maxFileBytes;
constexpr std::chrono::seconds answerTimeout(3);

[[noreturn]] void refuse(const std::string &detail)
{
    throw base::Error(base::ResultCode::PlatformAnswerInvalid, detail);
}

}

HttpPlatformClient::HttpPlatformClient(asio::io_context &context,
                                       const base::Clock &clock,
                                       std::vector<Endpoint> endpoints,
                                       std::shared_ptr<CallStatistics> calls)
    : m_context(context)
    , m_clock(clock)
    , m_pool(context, clock, HttpPool::Limits{})
    , m_endpoints(std::move(endpoints))
    , m_calls(std::move(calls))
{
}

Awaitable<std::optional<PublishedIndex>> HttpPlatformClient::configuration(base::Revision after,
                                                                           std::chrono::seconds wait)
{
    std::string target = "/v1/configuration";
    if (wait.count() > 0) {
        target += "?after=" + std::to_string(after) + "&wait=" + std::to_string(wait.count());
    }
    const auto answer = co_await read("configuration", target, wait);
    if (!answer) {
        co_return std::nullopt;
    }
    co_return parsePublishedIndex(*answer);
}

Awaitable<std::string> HttpPlatformClient::file(const PublishedFile &file)
{
    std::string target = "/v1/configuration/files/" + file.name + "?digest=" + file.digest;
    const auto answer = co_await read("file", std::move(target), std::chrono::seconds(0));
    if (!answer) {
        refuse("the platform has no file '" + file.name + "'");
    }
    // A proxy or a partly written store may return other bytes than the index names. A node that used them would have
    // another configuration than its peers under the same revision.
    if (config::fingerprintOf(*answer).toString() != file.digest) {
        refuse("the text of '" + file.name + "' does not match its digest");
    }
    co_return *answer;
}

Awaitable<std::optional<config::VmList>> HttpPlatformClient::vms(std::uint64_t after, std::chrono::seconds wait)
{
    std::string target = "/v1/vms";
    if (wait.count() > 0) {
        target += "?after=" + std::to_string(after) + "&wait=" + std::to_string(wait.count());
    }
    const auto answer = co_await read("vms", target, wait);
    if (!answer) {
        co_return std::nullopt;
    }
    co_return parseVmList(*answer);
}

Awaitable<std::optional<std::string>> HttpPlatformClient::read(std::string_view call,
                                                               std::string target,
                                                               std::chrono::seconds wait)
{
    const base::TimePoint began = m_clock.now();
    const Endpoint endpoint = m_endpoints[m_next % m_endpoints.size()];
    GetLimits limits;
    limits.timeout = wait + answerTimeout;
    limits.bodyBytes = maxAnswerBytes;
    GetResult result;
    try {
        result = co_await httpGet(m_context, m_pool, endpoint, std::move(target), limits);
    } catch (const base::Error &error) {
        ++m_next;
        m_calls->record(call, error.code(), m_clock.now() - began);
        throw;
    }
    constexpr unsigned noContent = 204;
    constexpr unsigned ok = 200;
    const bool good = result.status == noContent || result.status == ok;
    m_calls->record(call, good ? base::ResultCode::Ok : base::ResultCode::PlatformAnswerInvalid, m_clock.now() - began);
    if (result.status == noContent) {
        co_return std::nullopt;
    }
    if (!good) {
        refuse("status " + std::to_string(result.status));
    }
    co_return std::move(result.body);
}

}
