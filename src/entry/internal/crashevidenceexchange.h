#pragma once

#include "control/icrashevidenceexchange.h"

namespace lavendertally::framework {
class IClock;
}

namespace lavendertally::control {
class IDaemonControl;
}

namespace lavendertally::quarantine {
class ICrashEvidenceStore;
}

namespace lavendertally::entry {

/// Shares the evidence of this entry's quarantine with the other entries.
class CrashEvidenceExchange final : public control::ICrashEvidenceExchange
{
public:
    /// All arguments outlive this object's last call.
    CrashEvidenceExchange(quarantine::ICrashEvidenceStore &store, control::IDaemonControl &control,
                          const framework::IClock &clock);

    std::vector<protocol::CrashEvidence> newest() const override;
    void receive(const std::vector<protocol::CrashEvidence> &evidence) override;

private:
    quarantine::ICrashEvidenceStore &m_store;
    const framework::IClock &m_clock;
};

} // namespace lavendertally::entry
