#include "vmlistupdate.h"

#include <algorithm>
#include <map>

namespace papayastep::membership {

namespace {

VmRecord recordOf(const config::VmEntry &entry)
{
    return {entry.id,
            entry.zone,
            entry.address,
            entry.callerPort,
            entry.hopPort,
            entry.peerPort,
            entry.adminPort,
            entry.leaving,
            entry.retained};
}

config::VmEntry entryOf(const VmRecord &record)
{
    return {record.id,
            record.zone,
            record.address,
            record.callerPort,
            record.hopPort,
            record.peerPort,
            record.adminPort,
            record.leaving,
            record.retained};
}

}

VmListUpdate updateBetween(const config::VmList &from, const config::VmList &to)
{
    VmListUpdate update{from.version, to.version, {}, {}};
    for (const config::VmEntry &entry : from.vms) {
        if (!to.find(entry.id)) {
            update.removed.push_back(entry.id);
        }
    }
    for (const config::VmEntry &entry : to.vms) {
        const config::VmEntry *old = from.find(entry.id);
        if (!old || *old != entry) {
            update.changed.push_back(recordOf(entry));
        }
    }
    return update;
}

std::optional<config::VmList> applyUpdate(const config::VmList &list, const VmListUpdate &update)
{
    if (update.from != 0 && update.from != list.version) {
        return std::nullopt;
    }
    std::map<base::VmId, config::VmEntry> entries;
    if (update.from != 0) {
        for (const config::VmEntry &entry : list.vms) {
            entries.emplace(entry.id, entry);
        }
    }
    for (const base::VmId &id : update.removed) {
        entries.erase(id);
    }
    for (const VmRecord &record : update.changed) {
        entries.insert_or_assign(record.id, entryOf(record));
    }
    config::VmList result{update.to, {}};
    result.vms.reserve(entries.size());
    for (auto &[id, entry] : entries) {
        result.vms.push_back(std::move(entry));
    }
    return result;
}

}
