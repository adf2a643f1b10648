#pragma once

#include "papayastep/base/identifiers.h"
#include "papayastep/membership/vmdirectory.h"

#include <vector>

/// The nodes that read the platform and the trees along which nodes forward. Each node computes them from the VM list
/// alone, without agreement.
namespace papayastep::membership {

/// Returns the readers of `zone`: its `count` VMs with the greatest rendezvous weight. Nodes with different lists may
/// disagree for a while, which costs a few more reads or leaves a zone to the other readers.
std::vector<base::VmId> readersOfZone(const VmDirectory &directory, const base::ZoneId &zone, int count);

/// Returns the VMs to which `self` forwards in the tree of `root` over `members`. The order is a hash of `root` and
/// `salt`, so that a dead VM cuts off different nodes each time. Empty if `self` is not a member.
std::vector<base::VmId> treeChildren(
    std::vector<base::VmId> members, const base::VmId &root, std::uint64_t salt, const base::VmId &self, int fanOut);

}
