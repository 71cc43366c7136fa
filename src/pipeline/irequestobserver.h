#pragma once

#include "pipeline/types/calleranswer.h"

#include <functional>
#include <string>

namespace lavendertally::pipeline {

/// Receives the progress and the answer of a request; implemented by front ends.
class IRequestObserver
{
public:
    virtual ~IRequestObserver() = default;

    /// Called with the next part of the text of the last stage, for streaming callers only.
    virtual void onText(const std::string &text) = 0;

    /// \return whether the caller has not taken a bounded part of the text yet; no more should be
    /// passed on until the function given to onCaughtUp() is called
    virtual bool isBehind() const = 0;
    /// \param callback called each time the caller has been sent all the text so far
    virtual void onCaughtUp(std::function<void()> callback) = 0;

    /// Called when a failed attempt invalidates the text sent so far; a retry starts it again.
    virtual void onRestart() = 0;

    /// Called once with the final answer, after all other calls.
    virtual void onAnswer(const CallerAnswer &answer) = 0;
};

} // namespace lavendertally::pipeline
