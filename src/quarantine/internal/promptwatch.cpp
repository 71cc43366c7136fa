#include "quarantine/internal/promptwatch.h"

#include "framework/iclock.h"
#include "framework/ischeduler.h"
#include "framework/itimer.h"
#include "quarantine/types/answerbeginning.h"

#include <utility>

namespace lavendertally::quarantine {

namespace {

/// How long a request waits for other daemons' evidence, and how often it looks.
constexpr framework::Milliseconds ExplanationTime{250};
constexpr framework::Milliseconds ExplanationCheckInterval{50};

} // namespace

PromptWatch::PromptWatch(IPromptQuarantine &quarantine, const framework::IClock &clock,
                         framework::IScheduler &scheduler, IPromptQuarantine::Parts parts)
    : m_quarantine(quarantine), m_clock(clock), m_scheduler(scheduler), m_parts(std::move(parts))
{ }

PromptWatch::~PromptWatch()
{
    endTrial();
}

std::optional<PartAssessment> PromptWatch::obstacle() const
{
    const PartAssessment assessment = m_quarantine.assess(m_parts, m_clock.now());
    const bool isBlamed = assessment.standing == PartStanding::Blamed;
    const bool isTried = assessment.standing == PartStanding::Suspected && assessment.isOnTrial;
    return isBlamed || isTried ? std::optional(assessment) : std::nullopt;
}

void PromptWatch::attemptSent()
{
    attemptEnded();
    m_attemptSent = m_clock.now();
    m_textParts = 0;
    m_answerBegan = false;
    const PartAssessment assessment = m_quarantine.assess(m_parts, m_attemptSent);
    if (assessment.standing == PartStanding::Suspected) {
        m_isTrial = true;
        m_quarantine.beginTrial(m_parts);
    }
}

void PromptWatch::textReceived()
{
    if (++m_textParts == TextPartsOfSurvivor) {
        answerCompleted();
    }
}

void PromptWatch::answerCompleted()
{
    if (!m_answerBegan) {
        m_answerBegan = true;
        m_quarantine.answerBegan(m_parts, m_clock.now());
    }
    attemptEnded();
}

void PromptWatch::serverCrashed(framework::CrashId crash)
{
    if (!m_answerBegan) {
        m_quarantine.serverCrashed(m_parts, crash, m_attemptSent, m_clock.now());
    }
}

void PromptWatch::attemptEnded()
{
    endTrial();
}

void PromptWatch::endTrial()
{
    if (std::exchange(m_isTrial, false)) {
        m_quarantine.endTrial(m_parts);
    }
}

bool PromptWatch::isSuspected() const
{
    return !m_answerBegan
        && m_quarantine.assess(m_parts, m_clock.now()).standing != PartStanding::Clear;
}

void PromptWatch::awaitExplanation(const std::function<void(bool)> &explained)
{
    checkExplanation(m_clock.now() + ExplanationTime, explained);
}

void PromptWatch::cancelWaiting()
{
    m_timer.reset();
}

void PromptWatch::checkExplanation(framework::TimePoint until,
                                   const std::function<void(bool)> &explained)
{
    m_timer = m_scheduler.callAfter(ExplanationCheckInterval, [this, until, explained] {
        // Setting the timer again, or the callback, may destroy this function.
        const auto next = explained;
        const bool isClear = !isSuspected();
        if (isClear || m_clock.now() >= until) {
            next(isClear);
            return;
        }
        checkExplanation(until, next);
    });
}

} // namespace lavendertally::quarantine
