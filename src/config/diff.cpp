#include "entrywriter.h"

#include "papayastep/config/diff.h"

namespace papayastep::config {

namespace {

using nlohmann::ordered_json;

/// Returns the fields of `entry` that `other` lacks or has with another value, as JSON.
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

/// Appends the differences to `changes`. Both vectors are sorted by id, so one pass finds all of them.
template<typename Entry>
void diffSection(const std::string &section,
                 const std::vector<Entry> &from,
                 const std::vector<Entry> &to,
                 std::vector<Change> &changes)
{
    auto oldEntry = from.begin();
    auto newEntry = to.begin();
    while (oldEntry != from.end() || newEntry != to.end()) {
        if (newEntry == to.end() || (oldEntry != from.end() && oldEntry->id < newEntry->id)) {
            changes.push_back({ChangeKind::Removed, section, oldEntry->id.value(), writeEntry(*oldEntry).dump(), {}});
            ++oldEntry;
        } else if (oldEntry == from.end() || newEntry->id < oldEntry->id) {
            changes.push_back({ChangeKind::Added, section, newEntry->id.value(), {}, writeEntry(*newEntry).dump()});
            ++newEntry;
        } else {
            if (*oldEntry != *newEntry) {
                const ordered_json before = writeEntry(*oldEntry);
                const ordered_json after = writeEntry(*newEntry);
                changes.push_back({ChangeKind::Changed,
                                   section,
                                   newEntry->id.value(),
                                   differingFields(before, after),
                                   differingFields(after, before)});
            }
            ++oldEntry;
            ++newEntry;
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
