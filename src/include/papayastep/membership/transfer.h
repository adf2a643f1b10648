#pragma once

#include "papayastep/base/clock.h"
#include "papayastep/membership/messages.h"
#include "papayastep/wire/message.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Cuts what is too long for one message into parts, and puts parts together again within fixed limits of memory.
namespace papayastep::membership {

/// The encoded parts of `bytes`, ready to be sent to any number of peers.
std::vector<std::string> splitTransfer(TransferContent content,
                                       std::uint64_t version,
                                       const base::VmId &treeRoot,
                                       std::string_view bytes,
                                       std::size_t partBytes);

/// A transfer of which all parts came, and whose checksum is right.
struct CompletedTransfer
{
    TransferContent content = TransferContent::Configuration;
    std::uint64_t version = 0;
    base::VmId treeRoot;
    std::string bytes;
    std::vector<std::string> payloads; ///< The parts as they came, to be forwarded as they are.
};

/// Collects parts. Holds at most maxAssemblies transfers and of each sender one, and forgets those that stand still,
/// so that a faulty peer can neither fill the memory nor keep others out.
class TransferAssembler
{
public:
    static constexpr std::size_t maxAssemblies = 4;
    static constexpr std::size_t maxParts = 256;
    static constexpr base::Duration stallTimeout = std::chrono::seconds(10);

    TransferAssembler(const base::Clock &clock, std::size_t largestTransferBytes);

    /// Takes the part that `payload` encodes. Returns the transfer when it is whole; nothing while parts are missing
    /// and for parts of transfers that were whole before. Throws Error(MessageMalformed) for a part that is against
    /// the limits or does not fit the others.
    std::optional<CompletedTransfer> add(const base::VmId &from, const TransferPart &part, std::string_view payload);

    /// Forgets transfers that stand still.
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
