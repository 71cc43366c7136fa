#pragma once

#include "framework/types/timepoint.h"
#include "quarantine/ipromptquarantine.h"
#include "quarantine/ipromptwatch.h"

#include <cstdint>
#include <memory>

namespace lavendertally::framework {
class IClock;
class IScheduler;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::quarantine {

/// Watch that asks the quarantine of its daemon.
class PromptWatch final : public IPromptWatch
{
public:
    PromptWatch(IPromptQuarantine &quarantine, const framework::IClock &clock,
                framework::IScheduler &scheduler, IPromptQuarantine::Parts parts);
    ~PromptWatch() override;
    PromptWatch(const PromptWatch &) = delete;
    PromptWatch &operator=(const PromptWatch &) = delete;

    std::optional<PartAssessment> obstacle() const override;
    void attemptSent() override;
    void textReceived() override;
    void answerCompleted() override;
    void serverCrashed(framework::CrashId crash) override;
    void attemptEnded() override;
    bool isSuspected() const override;
    void awaitExplanation(const std::function<void(bool)> &explained) override;
    void cancelWaiting() override;

private:
    void endTrial();
    void checkExplanation(framework::TimePoint until, const std::function<void(bool)> &explained);

    IPromptQuarantine &m_quarantine;
    const framework::IClock &m_clock;
    framework::IScheduler &m_scheduler;
    IPromptQuarantine::Parts m_parts;
    framework::TimePoint m_attemptSent;
    std::uint32_t m_textParts = 0;
    bool m_answerBegan = false;
    bool m_isTrial = false;
    std::unique_ptr<framework::ITimer> m_timer;
};

} // namespace lavendertally::quarantine
