#include "papayastep/node/configurationfetcher.h"

#include "papayastep/base/error.h"
#include "papayastep/base/log.h"
#include "papayastep/net/task.h"

namespace papayastep::node {

namespace {

constexpr std::string_view logPrefix = "platform";
/// Longest time until a loop checks again for a due call.
constexpr base::Duration recheckInterval = std::chrono::seconds(1);

config::FileListing listingOf(const net::PublishedIndex &index)
{
    config::FileListing listing;
    listing.revision = index.revision;
    for (const net::PublishedFile &file : index.files) {
        listing.files.push_back({file.name, file.digest, file.bytes});
    }
    std::sort(listing.files.begin(), listing.files.end());
    return listing;
}

/// Time that the platform may wait before it answers a call: the requested time for a watch, 0 for a read.
std::chrono::seconds waitOf(const membership::PlatformCall &call)
{
    return call.kind == membership::PlatformCallKind::Watch ? call.wait : std::chrono::seconds(0);
}

}

ConfigurationFetcher::ConfigurationFetcher(NodeContext &context,
                                           membership::ConfigDistributor &spread,
                                           net::PlatformClient &platform)
    : m_context(context)
    , m_spread(spread)
    , m_platform(platform)
    , m_configurationChanged(context.io)
    , m_vmListChanged(context.io)
{
}

void ConfigurationFetcher::start()
{
    startConfigurationOnly();
    net::spawnRestartingTask(m_context.io, "vm-list", [this] { return vmListLoop(); });
}

void ConfigurationFetcher::startConfigurationOnly()
{
    net::spawnRestartingTask(m_context.io, "configuration", [this] { return configurationLoop(); });
}

void ConfigurationFetcher::stop()
{
    m_stopped = true;
    wake();
}

void ConfigurationFetcher::wake()
{
    m_configurationChanged.notify();
    m_vmListChanged.notify();
}

base::TimePoint ConfigurationFetcher::vmListRequestedAt() const
{
    return m_vmListRequestedAt;
}

net::Awaitable<void> ConfigurationFetcher::configurationLoop()
{
    while (!m_stopped) {
        const auto call = m_spread.configurationCall();
        const auto now = m_context.clock.now();
        if (call.kind == membership::PlatformCallKind::None || call.notBefore > now) {
            co_await m_configurationChanged.waitUntil(
                std::max(now + std::chrono::milliseconds(1), std::min(call.notBefore, now + recheckInterval)));
            continue;
        }
        co_await readConfiguration(call);
        m_context.schedulePump();
    }
}

net::Awaitable<void> ConfigurationFetcher::vmListLoop()
{
    while (!m_stopped) {
        const auto call = m_spread.vmListCall();
        const auto now = m_context.clock.now();
        if (call.kind == membership::PlatformCallKind::None || call.notBefore > now) {
            co_await m_vmListChanged.waitUntil(
                std::max(now + std::chrono::milliseconds(1), std::min(call.notBefore, now + recheckInterval)));
            continue;
        }
        co_await readVmList(call);
        m_context.schedulePump();
    }
}

net::Awaitable<void> ConfigurationFetcher::readConfiguration(membership::PlatformCall call)
{
    try {
        const auto index = co_await m_platform.configuration(call.after, waitOf(call));
        if (!index) {
            m_spread.notePlatformUnchanged();
            co_return;
        }
        const config::FileListing listing = listingOf(*index);
        const membership::FetchPlan plan = m_spread.applyPlatformListing(listing);
        if (!plan.isNeeded) {
            co_return;
        }
        net::asio::steady_timer pause(m_context.io);
        pause.expires_after(plan.notBefore - m_context.clock.now());
        net::beast::error_code ignored;
        co_await pause.async_wait(net::into(ignored));
        std::vector<config::ConfigurationFile> files;
        for (const config::FileReference &file : plan.files) {
            const net::PublishedFile published{file.name, file.digest, file.bytes};
            std::string text = co_await m_platform.file(published);
            files.push_back({file.name, std::move(text)});
        }
        m_spread.applyPlatformFiles(listing, files);
    } catch (const base::Error &error) {
        PAPAYASTEP_LOG(WARNING, logPrefix)
            << "Failed to read the configuration." << base::field("code", number(error.code()))
            << base::field("detail", error.detail());
        m_spread.notePlatformFailed();
    }
}

net::Awaitable<void> ConfigurationFetcher::readVmList(membership::PlatformCall call)
{
    const auto lastRequestedAt = m_context.clock.now();
    try {
        auto list = co_await m_platform.vms(call.after, waitOf(call));
        if (list) {
            m_vmListRequestedAt = lastRequestedAt;
            m_spread.applyPlatformVmList(std::move(*list));
        } else {
            // The watch ended without a change. This proves only that the list was current at the start of the watch.
            m_vmListRequestedAt = lastRequestedAt;
            m_spread.notePlatformVmListUnchanged();
        }
        m_context.tokens.applyVmList(m_context.vms, m_vmListRequestedAt);
    } catch (const base::Error &error) {
        PAPAYASTEP_LOG(WARNING, logPrefix) << "Failed to read the VM list." << base::field("code", number(error.code()))
                                           << base::field("detail", error.detail());
        m_spread.notePlatformVmListFailed();
    }
}

}
