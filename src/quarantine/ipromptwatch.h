#pragma once

#include "framework/types/ids.h"
#include "quarantine/types/partassessment.h"

#include <functional>
#include <optional>

namespace lavendertally::quarantine {

/// Keeps one request from crashing backend servers: asks the quarantine before each attempt, and
/// reports to it how the attempts go. Destroying it ends its trial and its waiting.
class IPromptWatch
{
public:
    virtual ~IPromptWatch() = default;

    /// \return why the prompt must not be sent to a backend server now; nothing if it may be
    virtual std::optional<PartAssessment> obstacle() const = 0;

    /// An attempt is sent; it is a trial if a part of the prompt is suspected.
    virtual void attemptSent() = 0;

    /// A part of the answer's text came.
    virtual void textReceived() = 0;
    virtual void answerCompleted() = 0;

    /// The backend server crashed; counts if the answer of the last attempt had not begun.
    virtual void serverCrashed(framework::CrashId crash) = 0;

    /// Ends the trial that the last attempt was, if any.
    virtual void attemptEnded() = 0;

    /// \return whether the loss of the last attempt may be the prompt's fault
    virtual bool isSuspected() const = 0;

    /// Waits for evidence that the prompt did not cause the crash.
    /// \param explained receives whether there is any; called once, later, unless this object is
    /// destroyed first
    virtual void awaitExplanation(const std::function<void(bool)> &explained) = 0;

    /// Ends the waiting without a call.
    virtual void cancelWaiting() = 0;
};

} // namespace lavendertally::quarantine
