#pragma once

#include "framework/types/ids.h"
#include "framework/types/timepoint.h"
#include "quarantine/types/partassessment.h"

#include <vector>

namespace lavendertally::quarantine {

class ICrashEvidenceStore;

/// Finds the prompt parts that crash backend servers, and keeps requests with them away. Attempts
/// report how they ended; the evidence is shared among daemons, see ICrashEvidenceStore.
class IPromptQuarantine
{
public:
    using Parts = std::vector<framework::PromptPartId>;

    virtual ~IPromptQuarantine() = default;

    /// \param parts parts that the prompt shares with other requests
    /// \return the worst standing among \p parts
    virtual PartAssessment assess(const Parts &parts, framework::TimePoint now) const = 0;

    /// An attempt with the suspected prompt \p parts is sent; until endTrial() others should wait.
    virtual void beginTrial(const Parts &parts) = 0;
    virtual void endTrial(const Parts &parts) = 0;

    /// A backend server writes an answer on a prompt with \p parts, and has survived its beginning.
    virtual void answerBegan(const Parts &parts, framework::TimePoint now) = 0;

    /// A backend server crashed before the answer of an attempt had begun.
    /// \param crash the same for all attempts that were lost in this crash, at any daemon
    /// \param attemptSent when the attempt was sent
    virtual void serverCrashed(const Parts &parts, framework::CrashId crash,
                               framework::TimePoint attemptSent, framework::TimePoint now) = 0;

    /// \return the evidence behind the standings, for the exchange with other daemons
    virtual ICrashEvidenceStore &evidenceStore() = 0;
};

} // namespace lavendertally::quarantine
