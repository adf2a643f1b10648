#include "papayastep/node/transfercounters.h"

namespace papayastep::node {

std::string_view name(TransferPurpose purpose)
{
    switch (purpose) {
    case TransferPurpose::Request:
        return "request";
    case TransferPurpose::Answer:
        return "answer";
    case TransferPurpose::SlotQuestion:
        return "slot-question";
    case TransferPurpose::SlotOffer:
        return "slot-offer";
    case TransferPurpose::RateLimit:
        return "rate-limit";
    case TransferPurpose::Directory:
        return "directory";
    case TransferPurpose::Siblings:
        return "siblings";
    case TransferPurpose::Configuration:
        return "configuration";
    case TransferPurpose::Other:
        return "other";
    }
    return "unknown";
}

TransferPurpose purposeOf(wire::MessageKind kind)
{
    using wire::MessageKind;
    switch (kind) {
    case MessageKind::SlotQuery:
        return TransferPurpose::SlotQuestion;
    case MessageKind::SlotOffer:
        return TransferPurpose::SlotOffer;
    case MessageKind::TokenRequest:
    case MessageKind::TokenGrant:
    case MessageKind::TokenReturn:
    case MessageKind::ShareHandOver:
    case MessageKind::TenureQuery:
    case MessageKind::TenureAnswer:
    case MessageKind::PoolAsk:
    case MessageKind::PoolGrant:
        return TransferPurpose::RateLimit;
    case MessageKind::DirectoryNews:
        return TransferPurpose::Directory;
    case MessageKind::SiblingState:
    case MessageKind::SiblingLeaving:
    case MessageKind::GrayNotice:
        return TransferPurpose::Siblings;
    case MessageKind::RevisionNotice:
    case MessageKind::ConfigurationDelta:
    case MessageKind::ConfigurationRequest:
    case MessageKind::ConfigurationPart:
    case MessageKind::VmListNotice:
        return TransferPurpose::Configuration;
    default:
        return TransferPurpose::Other;
    }
}

void TransferCounters::record(TransferPurpose purpose, bool leavesZone, std::size_t bytes)
{
    m_bytes[static_cast<std::size_t>(purpose)][leavesZone ? 1 : 0] += bytes;
}

std::uint64_t TransferCounters::bytes(TransferPurpose purpose, bool leavesZone) const
{
    return m_bytes[static_cast<std::size_t>(purpose)][leavesZone ? 1 : 0];
}

}
