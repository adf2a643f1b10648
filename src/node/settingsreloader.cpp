#include "papayastep/node/settingsreloader.h"

namespace papayastep::node {

SettingsReloader::SettingsReloader(std::string path, SettingsOverrides overrides)
    : m_path(std::move(path))
    , m_overrides(std::move(overrides))
{
}

NodeSettings SettingsReloader::load()
{
    m_text = readSettingsText(m_path);
    return readSettings(m_path, m_overrides);
}

std::optional<NodeSettings> SettingsReloader::reloadIfChanged()
{
    std::string text = readSettingsText(m_path);
    if (text == m_text) {
        return std::nullopt;
    }
    m_text = std::move(text);
    return readSettings(m_path, m_overrides);
}

std::string settingsNeedingRestart(const NodeSettings &running, const NodeSettings &fresh)
{
    std::string names;
    const auto add = [&names](bool differs, const char *name) {
        if (differs) {
            names += names.empty() ? name : std::string(",") + name;
        }
    };
    const bool listenDiffers = running.caller != fresh.caller || running.hop != fresh.hop || running.peer != fresh.peer
        || running.admin != fresh.admin || running.ready != fresh.ready;
    add(running.vm != fresh.vm, "vm");
    add(running.zone != fresh.zone, "zone");
    add(running.service != fresh.service, "service");
    add(listenDiffers, "listen");
    add(running.readyPath != fresh.readyPath, "readyPath");
    add(running.platform != fresh.platform, "platform");
    add(running.interfaces != fresh.interfaces, "interfaces");
    add(running.rateLimits != fresh.rateLimits, "rateLimits");
    add(running.placement != fresh.placement, "placement");
    add(running.longestHold != fresh.longestHold, "longestHoldS");
    add(running.confirmsRecovery != fresh.confirmsRecovery, "confirmsRecovery");
    add(running.zoneTransfer != fresh.zoneTransfer, "zoneTransfer");
    add(running.overflowQueue != fresh.overflowQueue, "overflowQueue");
    add(running.secret != fresh.secret, "secret");
    return names;
}

NodeSettings withReloadableSettings(const NodeSettings &running, const NodeSettings &fresh)
{
    NodeSettings settings = running;
    settings.retryLimit = fresh.retryLimit;
    settings.limits = fresh.limits;
    settings.acknowledgeAfter = fresh.acknowledgeAfter;
    settings.asksForFreeSlots = fresh.asksForFreeSlots;
    settings.ejection = fresh.ejection;
    settings.drainTimeout = fresh.drainTimeout;
    settings.announceFirst = fresh.announceFirst;
    return settings;
}

}
