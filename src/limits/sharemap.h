#pragma once

#include "tokenshare.h"

#include "papayastep/config/configuration.h"

#include <vector>

namespace papayastep::limits {

/// Division of a workspace's rate and burst into shares, one for each availability zone of the configured backend
/// servers. A small burst is divided into fewer shares, so that each can hold two tokens: the smaller the shares, the
/// more often one is full and loses its refill while another lacks a token. All nodes with the same configuration
/// calculate the same division.
class ShareMap
{
public:
    ShareMap() = default;
    explicit ShareMap(const config::Configuration &configuration);

    /// Number of shares of `workspace`.
    std::size_t shareCount(const config::Workspace &workspace) const;

    /// Zones that have a share of `workspace`, sorted.
    std::vector<base::ZoneId> zonesOf(const config::Workspace &workspace) const;

    /// Fraction of rate and burst that `zone` has; 0 if it has no share.
    double fraction(const config::Workspace &workspace, const base::ZoneId &zone) const;

    const std::vector<base::ZoneId> &zones() const;

private:
    std::vector<base::ZoneId> m_zones;
};

/// Returns rate and burst of a fraction of `workspace`. The rate is lowered by `driftBound`, because a holder with a
/// fast clock would otherwise refill too much.
ShareTerms termsOf(const config::Workspace &workspace, double fraction, double driftBound);

/// Returns the VM of `zone` that holds the share of `workspace`; empty if the list has no VM there. VMs that are
/// leaving hold nothing.
base::VmId holderOf(const base::WorkspaceId &workspace, const base::ZoneId &zone, const config::VmList &list);

}
