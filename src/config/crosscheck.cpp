#include "crosscheck.h"

#include "papayastep/config/duration.h"

#include <map>
#include <tuple>
#include <unordered_map>
#include <unordered_set>

namespace papayastep::config {

namespace {

using base::ResultCode;

template<typename Entry>
void checkServices(const Merger &merged, const Section<Entry> &section, ErrorList &errors)
{
    for (std::size_t index = 0; index < section.entries.size(); ++index) {
        const std::string &service = section.entries[index].service.value();
        if (!merged.services().find(service)) {
            errors.add(ResultCode::ConfigUnknownReference,
                       "there is no service \"" + service + "\"",
                       merged.locate(section.name, section.origins[index], "service"));
        }
    }
}

void checkSplits(const Merger &merged, ErrorList &errors)
{
    const Section<Route> &section = merged.routes();
    for (std::size_t index = 0; index < section.entries.size(); ++index) {
        for (const RouteTarget &target : section.entries[index].split) {
            if (!merged.services().find(target.service.value())) {
                errors.add(ResultCode::ConfigUnknownReference,
                           "there is no service \"" + target.service.value() + "\"",
                           merged.locate(section.name, section.origins[index], "split"));
            }
        }
    }
}

/// Reports keys of more than one workspace. With such a key, it would be arbitrary to which workspace a request is
/// charged.
void checkKeys(const Merger &merged, ErrorList &errors)
{
    const Section<Workspace> &section = merged.workspaces();
    std::unordered_map<KeyFingerprint, std::size_t> ownerOf;
    for (std::size_t index = 0; index < section.entries.size(); ++index) {
        for (const KeyFingerprint &key : section.entries[index].keys) {
            const auto [owner, isNew] = ownerOf.emplace(key, index);
            if (!isNew && owner->second != index) {
                errors.add(ResultCode::ConfigContradiction,
                           "a key also belongs to workspace \"" + section.entries[owner->second].id.value() + "\"",
                           merged.locate(section.name, section.origins[index], "keys"));
            }
        }
    }
}

void checkRoutes(const Merger &merged, ErrorList &errors)
{
    using Match = std::tuple<std::string, std::string, std::string>;
    const Section<Route> &section = merged.routes();
    std::map<Match, std::size_t> owners;
    const auto addMatch = [&](const Route &route, const std::string &method, std::size_t index) {
        const auto [owner, isNew] = owners.emplace(Match{route.host, route.pathPrefix, method}, index);
        if (!isNew && owner->second != index) {
            errors.add(ResultCode::ConfigContradiction,
                       "route \"" + section.entries[owner->second].id.value()
                           + "\" has the same host, path prefix and method",
                       merged.locate(section.name, section.origins[index], ""));
        }
    };
    for (std::size_t index = 0; index < section.entries.size(); ++index) {
        const Route &route = section.entries[index];
        if (route.methods.empty()) {
            addMatch(route, "", index);
        }
        for (const std::string &method : route.methods) {
            addMatch(route, method, index);
        }
        if (route.retention < route.deadline) {
            errors.add(ResultCode::ConfigContradiction,
                       "the retention " + formatDuration(route.retention) + " is shorter than the deadline "
                           + formatDuration(route.deadline),
                       merged.locate(section.name, section.origins[index], "retention"));
        }
    }
}

void checkBackendServers(const Merger &merged, ErrorList &errors)
{
    using Endpoint = std::tuple<base::VmId, std::string, std::uint16_t>;
    const Section<BackendServer> &section = merged.backendServers();
    std::map<Endpoint, std::size_t> owners;
    std::unordered_map<base::VmId, std::size_t> firstOnVm;
    for (std::size_t index = 0; index < section.entries.size(); ++index) {
        const BackendServer &server = section.entries[index];
        const auto [owner, isNew] = owners.emplace(Endpoint{server.vm, server.address, server.port}, index);
        if (!isNew) {
            errors.add(ResultCode::ConfigContradiction,
                       "backend server \"" + section.entries[owner->second].id.value()
                           + "\" has the same VM, address and port",
                       merged.locate(section.name, section.origins[index], "port"));
        }
        const BackendServer &first = section.entries[firstOnVm.emplace(server.vm, index).first->second];
        if (first.zone != server.zone) {
            errors.add(ResultCode::ConfigContradiction,
                       "backend server \"" + first.id.value() + "\" places VM \"" + server.vm.value() + "\" in zone \""
                           + first.zone.value() + "\"",
                       merged.locate(section.name, section.origins[index], "zone"));
        }
    }
}

}

void crossCheck(const Merger &merged, bool complete, ErrorList &errors)
{
    if (complete) {
        checkServices(merged, merged.routes(), errors);
        checkServices(merged, merged.backendServers(), errors);
        checkSplits(merged, errors);
    }
    checkKeys(merged, errors);
    checkRoutes(merged, errors);
    checkBackendServers(merged, errors);
}

void findWarnings(const Merger &merged, ErrorList &warnings)
{
    std::unordered_set<std::string> served;
    for (const BackendServer &server : merged.backendServers().entries) {
        if (!server.drain) {
            served.insert(server.service.value());
        }
    }
    const Section<Service> &services = merged.services();
    for (std::size_t index = 0; index < services.entries.size(); ++index) {
        if (!served.contains(services.entries[index].id.value())) {
            warnings.add(ResultCode::Ok,
                         "the service has no backend server that accepts requests",
                         merged.locate(services.name, services.origins[index], ""));
        }
    }
    const Section<Workspace> &workspaces = merged.workspaces();
    for (std::size_t index = 0; index < workspaces.entries.size(); ++index) {
        if (workspaces.entries[index].keys.empty()) {
            warnings.add(ResultCode::Ok,
                         "the workspace has no key, so nobody can use it",
                         merged.locate(workspaces.name, workspaces.origins[index], "keys"));
        }
    }
}

}
