#pragma once

#include "tokenshare.h"

#include "papayastep/config/configuration.h"

#include <vector>

namespace papayastep::limits {

/// How a workspace's rate and burst are cut into shares, one per availability zone of the configured backend servers.
/// A small burst is cut into fewer shares, so that each can hold two tokens: the smaller the shares, the more often one
/// is full, and loses its refill, while another lacks a token. The same on every node with the same configuration.
class ShareMap
{
public:
    ShareMap() = default;
    explicit ShareMap(const config::Configuration &configuration);

    /// Into how many shares `workspace` is cut.
    std::size_t shareCount(const config::Workspace &workspace) const;

    /// The zones that have a share of `workspace`, sorted.
    std::vector<base::ZoneId> zonesOf(const config::Workspace &workspace) const;

    /// The fraction of rate and burst of `zone`; 0 if it has no share.
    double fraction(const config::Workspace &workspace, const base::ZoneId &zone) const;

    const std::vector<base::ZoneId> &zones() const;

private:
    std::vector<base::ZoneId> m_zones;
};

/// Rate and burst of a fraction of `workspace`. The rate is lowered by `driftBound`: a holder whose clock runs fast
/// would refill too much.
ShareTerms termsOf(const config::Workspace &workspace, double fraction, double driftBound);

/// The VM of `zone` that holds the share of `workspace`; empty if the list has none there. VMs that leave hold nothing.
base::VmId holderOf(const base::WorkspaceId &workspace, const base::ZoneId &zone, const config::VmList &list);

}
