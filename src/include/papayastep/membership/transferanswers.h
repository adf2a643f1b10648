#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/config/configstore.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace papayastep::membership {

struct DistributionSettings;

/// The transfers that answer requests of other nodes, and how many of them a node sends. Not thread-safe.
class TransferAnswers
{
public:
    using Parts = std::vector<std::string>; ///< Encoded TransferParts.

    /// `clock` and `settings` must outlive this.
    TransferAnswers(const base::Clock &clock, const DistributionSettings &settings);

    /// What turns the files `have` into those of `store`; `previous` is the revision before it. Null where this
    /// second's answers are used up. Valid until the next call.
    const Parts *configuration(const config::FileListing &have,
                               const config::ConfigStore &store,
                               const config::ConfigStore &previous);
    /// The whole list, alike.
    const Parts *vmList(const config::VmList &list);

    /// Requests beyond the limit since the start.
    std::uint64_t declined() const;

private:
    /// Kept, since many nodes ask for the same after a large change.
    struct CachedAnswer
    {
        std::string baseDigest;
        std::uint64_t version = 0;
        Parts parts;
    };

    bool takeAnswerSlot();

    const base::Clock &m_clock;
    const DistributionSettings &m_settings;
    std::optional<CachedAnswer> m_configuration;
    std::optional<CachedAnswer> m_vmList;
    base::TimePoint m_windowStart{};
    std::size_t m_answers = 0;
    std::uint64_t m_declined = 0;
};

}
