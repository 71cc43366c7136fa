#include "entry/internal/crashevidenceexchange.h"

#include "control/idaemoncontrol.h"
#include "framework/iclock.h"
#include "quarantine/icrashevidencestore.h"

#include <algorithm>

namespace lavendertally::entry {

CrashEvidenceExchange::CrashEvidenceExchange(quarantine::ICrashEvidenceStore &store,
                                             control::IDaemonControl &control,
                                             const framework::IClock &clock)
    : m_store(store), m_clock(clock)
{
    control.setCrashEvidence(*this);
    m_store.onChange(
        [&control](const protocol::CrashEvidence & /*change*/) { control.spreadCrashEvidence(); });
}

std::vector<protocol::CrashEvidence> CrashEvidenceExchange::newest() const
{
    auto evidence = m_store.evidence(m_clock.now());
    if (evidence.size() > protocol::CrashEvidence::MaxInControlMessage) {
        std::stable_sort(evidence.begin(), evidence.end(), [](const auto &left, const auto &right) {
            return left.crashAge < right.crashAge;
        });
        evidence.resize(protocol::CrashEvidence::MaxInControlMessage);
    }
    return evidence;
}

void CrashEvidenceExchange::receive(const std::vector<protocol::CrashEvidence> &evidence)
{
    m_store.merge(evidence, m_clock.now());
}

} // namespace lavendertally::entry
