#include "papayastep/membership/transferanswers.h"
#include "vmlistupdate.h"

#include "papayastep/membership/configdistributor.h"

namespace papayastep::membership {

TransferAnswers::TransferAnswers(const base::Clock &clock, const DistributionSettings &settings)
    : m_clock(clock)
    , m_settings(settings)
{
}

const TransferAnswers::Parts *TransferAnswers::configuration(const config::FileListing &have,
                                                             const config::ConfigStore &store,
                                                             const config::ConfigStore &previous)
{
    if (!takeAnswerSlot()) {
        return nullptr;
    }
    const std::string baseDigest = have.digest();
    const std::uint64_t revision = store.revision();
    if (!m_configuration || m_configuration->version != revision || m_configuration->baseDigest != baseDigest) {
        const std::string bytes = wire::encode(store.patchFor(have, previous));
        m_configuration = CachedAnswer{
            baseDigest,
            revision,
            splitTransfer(TransferContent::Configuration, revision, base::VmId(), bytes, m_settings.partBytes)};
    }
    return &m_configuration->parts;
}

const TransferAnswers::Parts *TransferAnswers::vmList(const config::VmList &list)
{
    if (!takeAnswerSlot()) {
        return nullptr;
    }
    if (!m_vmList || m_vmList->version != list.version) {
        const std::string bytes = wire::encode(updateBetween({}, list));
        m_vmList = CachedAnswer{
            {},
            list.version,
            splitTransfer(TransferContent::VmList, list.version, base::VmId(), bytes, m_settings.partBytes)};
    }
    return &m_vmList->parts;
}

std::uint64_t TransferAnswers::declined() const
{
    return m_declined;
}

bool TransferAnswers::takeAnswerSlot()
{
    const base::TimePoint now = m_clock.now();
    if (now - m_windowStart >= std::chrono::seconds(1)) {
        m_windowStart = now;
        m_answers = 0;
    }
    const bool isWithinLimit = ++m_answers <= m_settings.answersPerSecond;
    m_declined += isWithinLimit ? 0 : 1;
    return isWithinLimit;
}

}
