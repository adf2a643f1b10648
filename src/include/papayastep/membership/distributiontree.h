#pragma once

#include "papayastep/base/identifiers.h"
#include "papayastep/membership/vmdirectory.h"

#include <vector>

/// Who reads the platform and who forwards to whom, computed by each node from the VM list alone, without agreement.
namespace papayastep::membership {

/// The `count` VMs of `zone` with the greatest rendezvous weight: the zone's readers. Nodes with different lists may
/// disagree for a while, which costs a few reads more or leaves a zone to the other readers.
std::vector<base::VmId> readersOfZone(const VmDirectory &directory, const base::ZoneId &zone, int count);

/// To whom `self` forwards in the tree of `root` over `members`. The order is a hash of root and `salt`, so that a dead
/// VM cuts off other nodes each time. Empty where `self` is no member.
std::vector<base::VmId> treeChildren(
    std::vector<base::VmId> members, const base::VmId &root, std::uint64_t salt, const base::VmId &self, int fanOut);

}
