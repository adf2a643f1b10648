#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/membership/messages.h"
#include "papayastep/wire/message.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Splits data that is too long for one message into parts, and reassembles them within fixed memory limits.
namespace papayastep::membership {

/// Returns the encoded parts of `bytes`, ready to be sent to any number of peers.
std::vector<std::string> splitTransfer(TransferContent content,
                                       std::uint64_t version,
                                       const base::VmId &treeRoot,
                                       std::string_view bytes,
                                       std::size_t partBytes);

/// A transfer whose parts have all been received and whose checksum matches.
struct CompletedTransfer
{
    TransferContent content = TransferContent::Configuration;
    std::uint64_t version = 0;
    base::VmId treeRoot;
    std::string bytes;
    std::vector<std::string> payloads; ///< The parts as received, to be forwarded unchanged.
};

/// Reassembles transfers from their parts. Holds at most maxAssemblies transfers, one per sender, and drops stalled
/// ones, so that a faulty peer can neither exhaust the memory nor block the transfers of others.
class TransferAssembler
{
public:
    static constexpr std::size_t maxAssemblies = 4;
    static constexpr std::size_t maxParts = 256;
    static constexpr base::Duration stallTimeout = std::chrono::seconds(10);

    TransferAssembler(const base::Clock &clock, std::size_t largestTransferBytes);

    /// Adds the part that `payload` encodes. Returns the transfer when it is complete; empty while parts are missing
    /// and for parts of transfers that were complete before. Throws Error(MessageMalformed) for a part that exceeds the
    /// limits or does not fit the others.
    std::optional<CompletedTransfer> add(const base::VmId &from, const TransferPart &part, std::string_view payload);

    /// Drops stalled transfers.
    void expire();

private:
    struct Assembly
    {
        base::VmId from;
        base::VmId treeRoot;
        std::uint64_t checksum = 0;
        std::size_t missing = 0;
        std::size_t bytes = 0;
        std::vector<std::string> payloads;
        base::TimePoint lastProgress{};

        bool isOf(const TransferPart &part) const
        {
            return checksum == part.checksum && treeRoot == part.treeRoot;
        }
    };
    struct CompletedId
    {
        std::uint64_t checksum = 0;
        base::VmId treeRoot;
    };

    Assembly &assemblyOf(const base::VmId &from, const TransferPart &part);
    bool isCompleted(const TransferPart &part) const;
    std::optional<CompletedTransfer> finish(Assembly &assembly, const TransferPart &part);

    const base::Clock &m_clock;
    std::size_t m_largestTransferBytes;
    std::vector<Assembly> m_assemblies;
    std::deque<CompletedId> m_completed;
};

}
