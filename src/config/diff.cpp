#include "entrywriter.h"

#include "papayastep/config/diff.h"

namespace papayastep::config {

namespace {

using nlohmann::ordered_json;

/// The fields of `entry` that `other` has not, or has otherwise.
std::string differingFields(const ordered_json &entry, const ordered_json &other)
{
    ordered_json fields = ordered_json::object();
    for (const auto &[name, value] : entry.items()) {
        if (!other.contains(name) || other[name] != value) {
            fields[name] = value;
        }
    }
    return fields.dump();
}

/// Both are sorted by id, so one walk finds all.
template<typename Entry>
void diffSection(const std::string &section,
                 const std::vector<Entry> &from,
                 const std::vector<Entry> &to,
                 std::vector<Change> &changes)
{
    auto old = from.begin();
    auto now = to.begin();
    while (old != from.end() || now != to.end()) {
        if (now == to.end() || (old != from.end() && old->id < now->id)) {
            changes.push_back({ChangeKind::Removed, section, old->id.value(), writeEntry(*old).dump(), {}});
            ++old;
        } else if (old == from.end() || now->id < old->id) {
            changes.push_back({ChangeKind::Added, section, now->id.value(), {}, writeEntry(*now).dump()});
            ++now;
        } else {
            if (*old != *now) {
                const ordered_json before = writeEntry(*old);
                const ordered_json after = writeEntry(*now);
                changes.push_back({ChangeKind::Changed,
                                   section,
                                   now->id.value(),
                                   differingFields(before, after),
                                   differingFields(after, before)});
            }
            ++old;
            ++now;
        }
    }
}

template<typename Entry>
ordered_json writeSection(const std::vector<Entry> &entries)
{
    ordered_json section = ordered_json::array();
    for (const Entry &entry : entries) {
        section.push_back(writeEntry(entry));
    }
    return section;
}

}

std::vector<Change> diff(const Configuration &from, const Configuration &to)
{
    std::vector<Change> changes;
    diffSection("workspaces", from.workspaces(), to.workspaces(), changes);
    diffSection("services", from.services(), to.services(), changes);
    diffSection("routes", from.routes(), to.routes(), changes);
    diffSection("backendServers", from.backendServers(), to.backendServers(), changes);
    if (from.limits() != to.limits()) {
        const ordered_json before = writeLimits(from.limits());
        const ordered_json after = writeLimits(to.limits());
        changes.push_back(
            {ChangeKind::Changed, "limits", {}, differingFields(before, after), differingFields(after, before)});
    }
    return changes;
}

std::string toJson(const Configuration &configuration)
{
    ordered_json document{{"workspaces", writeSection(configuration.workspaces())},
                          {"services", writeSection(configuration.services())},
                          {"routes", writeSection(configuration.routes())},
                          {"backendServers", writeSection(configuration.backendServers())}};
    if (configuration.limits() != CallerLimits()) {
        document["limits"] = writeLimits(configuration.limits());
    }
    return document.dump(4) + '\n';
}

}
