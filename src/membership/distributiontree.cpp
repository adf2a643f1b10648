#include "papayastep/membership/distributiontree.h"

#include "papayastep/base/hashing.h"

#include <algorithm>
#include <utility>

namespace papayastep::membership {

namespace {

using Weighted = std::pair<std::uint64_t, base::VmId>;

std::vector<Weighted> weigh(const std::vector<base::VmId> &vms, std::uint64_t seed)
{
    std::vector<Weighted> weighted;
    weighted.reserve(vms.size());
    for (const base::VmId &vm : vms) {
        weighted.emplace_back(base::stableHash(vm.value(), seed), vm);
    }
    return weighted;
}

}

std::vector<base::VmId> readersOfZone(const VmDirectory &directory, const base::ZoneId &zone, int count)
{
    const std::string item = "reader/" + zone.value();
    std::vector<Weighted> weighted = weigh(directory.activeVmsInZone(zone), base::stableHash(item));
    const std::size_t kept = std::min(weighted.size(), static_cast<std::size_t>(count));
    std::partial_sort(
        weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(kept), weighted.end(), std::greater<>());
    std::vector<base::VmId> readers;
    for (std::size_t index = 0; index < kept; ++index) {
        readers.push_back(weighted[index].second);
    }
    return readers;
}

std::vector<base::VmId> treeChildren(
    std::vector<base::VmId> members, const base::VmId &root, std::uint64_t salt, const base::VmId &self, int fanOut)
{
    std::erase(members, root);
    std::vector<Weighted> order = weigh(members, base::stableHash(root.value(), salt));
    std::sort(order.begin(), order.end());
    order.insert(order.begin(), Weighted(0, root));
    const auto place
        = std::find_if(order.begin(), order.end(), [&self](const Weighted &entry) { return entry.second == self; });
    std::vector<base::VmId> children;
    if (place == order.end()) {
        return children;
    }
    const auto width = static_cast<std::size_t>(fanOut);
    const std::size_t first = static_cast<std::size_t>(place - order.begin()) * width + 1;
    for (std::size_t index = first; index < std::min(first + width, order.size()); ++index) {
        children.push_back(order[index].second);
    }
    return children;
}

}
