#include "papayastep/membership/transfer.h"

#include "papayastep/base/hashing.h"

#include <algorithm>

namespace papayastep::membership {

namespace {

constexpr std::size_t maxRememberedCompleted = 64;

[[noreturn]] void throwMalformed(const std::string &detail)
{
    throw base::Error(base::ResultCode::MessageMalformed, detail);
}

}

std::vector<std::string> splitTransfer(TransferContent content,
                                       std::uint64_t version,
                                       const base::VmId &treeRoot,
                                       std::string_view bytes,
                                       std::size_t partBytes)
{
    const std::size_t count = std::max<std::size_t>(1, (bytes.size() + partBytes - 1) / partBytes);
    TransferPart part;
    part.content = static_cast<std::uint8_t>(content);
    part.version = version;
    part.checksum = base::stableHash(bytes, version);
    part.count = static_cast<std::uint32_t>(count);
    part.treeRoot = treeRoot;
    std::vector<std::string> payloads;
    payloads.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        part.index = static_cast<std::uint32_t>(index);
        part.bytes = bytes.substr(index * partBytes, partBytes);
        payloads.push_back(wire::encode(part));
    }
    return payloads;
}

TransferAssembler::TransferAssembler(const base::Clock &clock, std::size_t largestTransferBytes)
    : m_clock(clock)
    , m_largestTransferBytes(largestTransferBytes)
{
}

std::optional<CompletedTransfer> TransferAssembler::add(const base::VmId &from,
                                                        const TransferPart &part,
                                                        std::string_view payload)
{
    if (part.count == 0 || part.count > maxParts || part.index >= part.count) {
        throwMalformed("a transfer has too many parts, or a part has an invalid index");
    }
    if (isCompleted(part)) {
        return std::nullopt;
    }
    Assembly &assembly = assemblyOf(from, part);
    if (assembly.payloads.size() != part.count) {
        throwMalformed("the parts of a transfer state different numbers of parts");
    }
    std::string &slot = assembly.payloads[part.index];
    if (!slot.empty()) {
        return std::nullopt;
    }
    if (assembly.bytes + part.bytes.size() > m_largestTransferBytes) {
        throwMalformed("a transfer exceeds the size limit");
    }
    slot = payload;
    assembly.bytes += part.bytes.size();
    assembly.lastProgress = m_clock.now();
    --assembly.missing;
    return assembly.missing == 0 ? finish(assembly, part) : std::nullopt;
}

TransferAssembler::Assembly &TransferAssembler::assemblyOf(const base::VmId &from, const TransferPart &part)
{
    const auto same = std::find_if(
        m_assemblies.begin(), m_assemblies.end(), [&part](const Assembly &assembly) { return assembly.isOf(part); });
    if (same != m_assemblies.end()) {
        return *same;
    }
    expire();
    std::erase_if(m_assemblies, [&from](const Assembly &assembly) { return assembly.from == from; });
    if (m_assemblies.size() == maxAssemblies) {
        throwMalformed("too many transfers are incomplete at once");
    }
    Assembly assembly;
    assembly.from = from;
    assembly.treeRoot = part.treeRoot;
    assembly.checksum = part.checksum;
    assembly.missing = part.count;
    assembly.payloads.resize(part.count);
    assembly.lastProgress = m_clock.now();
    return m_assemblies.emplace_back(std::move(assembly));
}

bool TransferAssembler::isCompleted(const TransferPart &part) const
{
    return std::any_of(m_completed.begin(), m_completed.end(), [&part](const CompletedId &completed) {
        return completed.checksum == part.checksum && completed.treeRoot == part.treeRoot;
    });
}

std::optional<CompletedTransfer> TransferAssembler::finish(Assembly &assembly, const TransferPart &part)
{
    CompletedTransfer transfer{static_cast<TransferContent>(part.content), part.version, part.treeRoot, {}, {}};
    transfer.payloads = std::move(assembly.payloads);
    std::erase_if(m_assemblies, [&part](const Assembly &other) { return other.isOf(part); });
    for (const std::string &payload : transfer.payloads) {
        transfer.bytes += wire::decode<TransferPart>(payload).bytes;
    }
    if (base::stableHash(transfer.bytes, part.version) != part.checksum) {
        throwMalformed("the checksum of a transfer does not match its bytes");
    }
    m_completed.push_back({part.checksum, part.treeRoot});
    if (m_completed.size() > maxRememberedCompleted) {
        m_completed.pop_front();
    }
    return transfer;
}

void TransferAssembler::expire()
{
    const base::TimePoint now = m_clock.now();
    std::erase_if(m_assemblies, [now](const Assembly &assembly) { return now - assembly.lastProgress > stallTimeout; });
}

}
