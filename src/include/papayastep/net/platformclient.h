#pragma once

#include "papayastep/config/configuration.h"
#include "papayastep/net/callstatistics.h"
#include "papayastep/net/httpclient.h"
#include "papayastep/net/platformanswers.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace papayastep::net {

/// Read-only access to the platform (docs/PLATFORM.md). Each kind of platform has a subclass. Each call throws
/// Error(PlatformUnreachable) or Error(PlatformAnswerInvalid) on failure.
class PlatformClient
{
public:
    virtual ~PlatformClient() = default;

    /// Reads the published index. With `wait` above 0, waits up to that time for a revision greater than `after` and
    /// returns nothing if there is none.
    virtual Awaitable<std::optional<PublishedIndex>> configuration(base::Revision after, std::chrono::seconds wait) = 0;
    virtual Awaitable<std::string> file(const PublishedFile &file) = 0;
    virtual Awaitable<std::optional<config::VmList>> vms(std::uint64_t after, std::chrono::seconds wait) = 0;
};

/// Access to the platform over HTTP. Uses the endpoints of the platform in turn: a failed call moves to the next one.
class HttpPlatformClient final : public PlatformClient
{
public:
    HttpPlatformClient(asio::io_context &context,
                       const base::Clock &clock,
                       std::vector<Endpoint> endpoints,
                       std::shared_ptr<CallStatistics> calls);

    Awaitable<std::optional<PublishedIndex>> configuration(base::Revision after, std::chrono::seconds wait) override;
    Awaitable<std::string> file(const PublishedFile &file) override;
    Awaitable<std::optional<config::VmList>> vms(std::uint64_t after, std::chrono::seconds wait) override;

private:
    Awaitable<std::optional<std::string>> read(std::string_view call, std::string target, std::chrono::seconds wait);

    asio::io_context &m_context;
    const base::Clock &m_clock;
    HttpPool m_pool;
    std::vector<Endpoint> m_endpoints;
    std::shared_ptr<CallStatistics> m_calls;
    std::size_t m_next = 0;
};

}
