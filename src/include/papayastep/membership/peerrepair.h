#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/base/identifiers.h"

#include <cstdint>
#include <map>
#include <optional>

namespace papayastep::membership {

struct DistributionSettings;

/// Fetches from peers what a push missed: remembers who said to be ahead and asks one of them at a time.
class PeerRepair
{
public:
    /// `settings` must outlive this.
    explicit PeerRepair(const DistributionSettings &settings);

    /// `peer` said to hold `version`, which is greater than ours.
    void noteAhead(const base::VmId &peer, std::uint64_t version, base::TimePoint now);

    /// A part of an answer of `peer` came: be patient.
    void noteProgress(const base::VmId &peer, base::TimePoint now);

    /// An answer of `peer` is complete. Whoever is still ahead may be asked again after the usual delay, also where
    /// the answer could not be used.
    void noteAnswered(const base::VmId &peer, base::TimePoint now);

    /// `peer` has no time to answer: another one may be asked at once.
    void noteDeclined(const base::VmId &peer, base::TimePoint now);

    /// `have` is held now: forget who is not ahead of it.
    void noteHeldVersion(std::uint64_t have);

    /// The peer to ask now, if one is due. A peer that did not answer in time is dropped until it says again that it
    /// is ahead.
    std::optional<base::VmId> due(base::TimePoint now);

    /// When due() may have an answer, if ever.
    std::optional<base::TimePoint> nextDue() const;

    struct Counts
    {
        std::uint64_t asked = 0;
        std::uint64_t declined = 0; ///< Of those, how many peers had no time.
        std::uint64_t unanswered = 0; ///< How many said nothing in time.
    };
    const Counts &counts() const;

private:
    struct Ahead
    {
        std::uint64_t version = 0;
        base::TimePoint notBefore{}; ///< After it has declined.
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
    Counts m_counts;
};

}
