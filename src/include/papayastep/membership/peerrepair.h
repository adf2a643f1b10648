#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace papayastep::membership {

struct DistributionSettings;

/// Requests from peers what a push did not deliver: records which peers are ahead and asks one of them at a time.
class PeerRepair
{
public:
    /// `settings` must outlive this object.
    explicit PeerRepair(const DistributionSettings &settings);

    /// Records that `peer` holds `version`, which is greater than the own one.
    void noteAhead(const base::VmId &peer, std::uint64_t version, base::TimePoint now);

    /// Extends the timeout of a request to `peer`, after a part of its answer was received.
    void noteProgress(const base::VmId &peer, base::TimePoint now);

    /// Records that an answer of `peer` is complete. A peer that is still ahead may be asked again after the usual
    /// delay, even if the answer could not be used.
    void noteAnswered(const base::VmId &peer, base::TimePoint now);

    /// Records that `peer` declined a request. Another peer may be asked at once.
    void noteDeclined(const base::VmId &peer, base::TimePoint now);

    /// Records that this node holds version `have`, and forgets the peers that are not ahead of it.
    void noteHeldVersion(std::uint64_t have);

    /// Returns the peer to ask now, if a request is due. A peer whose answer does not begin within `timeout` is dropped
    /// until it reports again that it is ahead.
    std::optional<base::VmId> due(base::TimePoint now, base::Duration timeout);

    /// Returns the peers that were dropped since the last call.
    std::vector<base::VmId> takeSilentPeers();

    /// Returns the time from which due() may return a peer; empty if there is no peer to ask.
    std::optional<base::TimePoint> nextDue() const;

    struct Counts
    {
        std::uint64_t asked = 0;
        std::uint64_t declined = 0; ///< Number of asked peers that declined.
        std::uint64_t unanswered = 0; ///< Number of asked peers that did not answer in time.
    };
    const Counts &counts() const;

private:
    struct Ahead
    {
        std::uint64_t version = 0;
        base::TimePoint notBefore{}; ///< Time before which a peer that declined is not asked again.
    };
    struct Pull
    {
        base::VmId peer;
        base::TimePoint askedAt{};
        base::TimePoint deadline{};
    };
    static constexpr std::size_t maxPeers = 8;

    void dropSilentPeer(base::TimePoint now);
    std::optional<base::VmId> newestPeerToAsk(base::TimePoint now) const;

    const DistributionSettings &m_settings;
    std::map<base::VmId, Ahead> m_ahead;
    base::TimePoint m_notBefore{};
    std::optional<Pull> m_pull;
    std::vector<base::VmId> m_silentPeers;
    Counts m_counts;
};

}
