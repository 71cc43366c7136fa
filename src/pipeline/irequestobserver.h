#pragma once

#include "pipeline/types/calleranswer.h"

#include <string>

namespace lavendertally::pipeline {

/// Receives the progress and the answer of a request; implemented by front ends.
class IRequestObserver
{
public:
    virtual ~IRequestObserver() = default;

    /// Called with the next part of the text of the last stage, for streaming callers only.
    virtual void onText(const std::string &text) = 0;

    /// Called when a failed attempt invalidates the text sent so far; a retry starts it again.
    virtual void onRestart() = 0;

    /// Called once with the final answer, after all other calls.
    virtual void onAnswer(const CallerAnswer &answer) = 0;
};

} // namespace lavendertally::pipeline
