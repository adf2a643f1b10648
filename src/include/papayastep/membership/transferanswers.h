#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/config/configstore.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace papayastep::membership {

struct DistributionSettings;

/// Builds the transfers that answer requests of other nodes, and limits how many a node sends. Not thread-safe.
class TransferAnswers
{
public:
    using Parts = std::vector<std::string>; ///< Encoded TransferParts.

    /// `clock` and `settings` must outlive this object.
    TransferAnswers(const base::Clock &clock, const DistributionSettings &settings);

    /// Returns the patch that turns the files `have` into those of `store`; `previous` is the revision before it. Null
    /// if the answers of the current second are used up. Valid until the next call.
    const Parts *configuration(const config::FileListing &have,
                               const config::ConfigStore &store,
                               const config::ConfigStore &previous);
    /// Returns the complete VM list, under the same conditions.
    const Parts *vmList(const config::VmList &list);

    /// Number of requests beyond the limit since the start.
    std::uint64_t declined() const;

private:
    /// Cached, because many nodes request the same after a large change.
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
