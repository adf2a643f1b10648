#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace papayastep::limits {

/// Settings of HomeAgreement.
struct HomeAgreementSettings
{
    /// Time for which a difference between the lists of two nodes is taken for a change on its way.
    base::Duration changeTime = std::chrono::milliseconds(200);
    /// Time after which a node whose list differs is asked again whether it accepts this node as the home.
    base::Duration claimInterval = std::chrono::milliseconds(600);
};

/// Records which nodes take this node for the home of a workspace's pool.
///
/// Each node chooses the homes by its own VM list. Lists differ while a change is on its way, and for longer if a node
/// cannot read the directory. A node with the same list takes the same homes. A node with another list is asked, which
/// is a claim, and denies it if it takes another node for the home: that one gives tokens for it. Not thread-safe.
class HomeAgreement
{
public:
    HomeAgreement(const base::Clock &clock, HomeAgreementSettings settings = {});

    /// Sets the hash of the VMs in the own list.
    void setOwnMembers(std::uint64_t members);

    /// Records the hash that a message of `vm` contains. 0 if the sender does not report it.
    void recordMembers(const base::VmId &vm, std::uint64_t members);

    /// Records that `vm` takes this node for the home of `workspace`: it asks for tokens or accepts a claim.
    void recordAccepted(const base::VmId &vm, const base::WorkspaceId &workspace);

    /// Records that `vm` denies a claim and takes `home` for the home of `workspace`.
    void recordDenied(const base::VmId &vm, const base::WorkspaceId &workspace, const base::VmId &home);

    /// Returns whether `vm` has another list and has denied that this node is the home.
    bool isDenied(const base::VmId &vm, const base::WorkspaceId &workspace) const;

    /// Returns the home that more than half of `nodes` nodes have named in their denials, or an empty id.
    base::VmId namedHome(const base::WorkspaceId &workspace, std::size_t nodes) const;

    /// Returns whether `vm` is to be asked now whether it accepts this node as the home, and records that it is asked.
    /// A home that has just started to give tokens does not wait for changes of the list that are on their way.
    bool startClaim(const base::VmId &vm, const base::WorkspaceId &workspace, bool hasJustStarted);

    /// Returns the number of nodes whose lists differ.
    std::size_t differing() const;

    /// Forgets the nodes that are not in `vms`, which is sorted.
    void keepOnly(const std::vector<base::VmId> &vms);

private:
    struct Claim
    {
        base::VmId deniedFor; ///< The home that the node takes instead; empty if it has not denied the claim.
        std::optional<base::TimePoint> askedAt;
        std::uint64_t askedOfMembers = 0; ///< Hash of the other node's list when it was asked.
    };
    struct Peer
    {
        std::uint64_t members = 0;
        std::optional<base::TimePoint> differsSince;
        std::map<base::WorkspaceId, Claim> claims; ///< Empty while the lists do not differ.
    };

    void compare(Peer &peer);
    bool isDueAgain(const Claim &claim, const Peer &peer) const;

    const base::Clock &m_clock;
    const HomeAgreementSettings m_settings;
    std::uint64_t m_ownMembers = 0;
    std::map<base::VmId, Peer> m_peers;
    std::size_t m_differing = 0;
};

}
