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

/// The platform, read only (docs/PLATFORM.md). Another platform is another subclass.
/// Each call throws Error(PlatformUnreachable) or Error(PlatformAnswerInvalid).
class PlatformClient
{
public:
    virtual ~PlatformClient() = default;

    /// The published index; with `after`, waits up to `wait` for a greater revision and returns nothing without one.
    virtual Awaitable<std::optional<PublishedIndex>> configuration(base::Revision after, std::chrono::seconds wait) = 0;
    virtual Awaitable<std::string> file(const PublishedFile &file) = 0;
    virtual Awaitable<std::optional<config::VmList>> vms(std::uint64_t after, std::chrono::seconds wait) = 0;
};

/// The platform over HTTP. Tries its endpoints in turn.
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
