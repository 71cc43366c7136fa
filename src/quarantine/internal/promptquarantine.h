#pragma once

#include "quarantine/icrashevidencestore.h"
#include "quarantine/internal/goodparts.h"
#include "quarantine/ipromptquarantine.h"
#include "quarantine/types/quarantinelimits.h"

#include <map>
#include <utility>

namespace lavendertally::framework {
class ILogger;
class IMetrics;
} // namespace lavendertally::framework

namespace lavendertally::quarantine {

/// Attributes crashes of backend servers to prompt parts. A part is suspected if an attempt with it
/// was lost in a crash before its answer began, and blamed if that happens again to an attempt that
/// was sent after the first crash, with no answer on the part in between. An answer clears its
/// parts. Where the same crashes blame several parts, a request with only some of them is tried, to
/// tell them apart. Standings depend on the shared evidence and the time; only the end of a blame
/// differs among daemons.
class PromptQuarantine final : public IPromptQuarantine, public ICrashEvidenceStore
{
public:
    /// \param seed differs among daemons, so that they try a blamed part again at different times
    PromptQuarantine(framework::ILogger &logger, framework::IMetrics &metrics,
                     const QuarantineLimits &limits, std::uint64_t seed);

    PartAssessment assess(const Parts &parts, framework::TimePoint now) const override;
    void beginTrial(const Parts &parts) override;
    void endTrial(const Parts &parts) override;
    void answerBegan(const Parts &parts, framework::TimePoint now) override;
    void serverCrashed(const Parts &parts, framework::CrashId crash,
                       framework::TimePoint attemptSent, framework::TimePoint now) override;
    ICrashEvidenceStore &evidenceStore() override { return *this; }

    Evidence evidence(framework::TimePoint now) const override;
    std::uint64_t fingerprint(framework::TimePoint now) const override;
    void merge(const Evidence &evidence, framework::TimePoint now) override;
    void onChange(std::function<void(const protocol::CrashEvidence &)> listener) override;

private:
    using Key = std::pair<framework::PromptPartId, framework::CrashId>;
    struct Observation
    {
        framework::TimePoint attemptSent;
        framework::TimePoint crashed;
        bool isKnownGood = false;
        bool isRefuted = false;
    };
    using Observations = std::map<Key, Observation>;
    /// Crashes that count against a part.
    struct Charge
    {
        std::uint32_t crashes = 0;
        std::uint32_t crashesToBlame = 0;
        framework::TimePoint lastCrash;
        /// Whether answers with the part had begun before.
        bool wasGood = false;

        bool suffices() const { return crashes > 0 && crashes >= crashesToBlame; }
    };

    std::pair<Observations::const_iterator, Observations::const_iterator>
    observationsOf(framework::PromptPartId part) const;
    Charge chargeAgainst(framework::PromptPartId part) const;
    bool isExplainedWithout(const Parts &prompt, framework::PromptPartId part) const;
    PartAssessment assessPart(framework::PromptPartId part, const Parts &prompt,
                              framework::TimePoint now) const;
    framework::Milliseconds blameTime(const Charge &charge) const;
    framework::Milliseconds ownBlameTime(const Charge &charge) const;
    framework::Milliseconds lifetime(const Charge &charge) const;
    bool isExpired(const Observations::value_type &entry, framework::TimePoint now) const;
    /// Adds knowledge of this daemon about the part.
    void addOwnKnowledge(const Key &key, Observation &observation) const;
    void store(const Key &key, Observation observation, framework::TimePoint now);
    void dropExpired(framework::TimePoint now);
    void dropLeastUseful();
    void logStanding(framework::PromptPartId part, PartStanding before,
                     framework::TimePoint now) const;

    framework::ILogger &m_logger;
    framework::IMetrics &m_metrics;
    QuarantineLimits m_limits;
    Observations m_observations;
    GoodParts m_goodParts;
    /// Part of the blame time, in steps of BlameSpreadSteps, that this daemon adds.
    std::int64_t m_blameSpread;
    /// Attempts in flight at this daemon that try a suspected part, by each part of their prompts.
    std::map<framework::PromptPartId, std::uint32_t> m_trials;
    std::function<void(const protocol::CrashEvidence &)> m_onChange;
};

} // namespace lavendertally::quarantine
