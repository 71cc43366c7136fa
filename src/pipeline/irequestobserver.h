#pragma once

#include "pipeline/types/calleranswer.h"

#include <string>

namespace lavendertally::pipeline {

/// The caller's side of a request: a front end implements it.
class IRequestObserver
{
public:
    virtual ~IRequestObserver() = default;

    /// Part of the last stage's text; only for streaming callers.
    virtual void onText(const std::string &text) = 0;

    /// The text so far is void, since another attempt starts it anew.
    virtual void onRestart() = 0;

    /// Called once, last.
    virtual void onAnswer(const CallerAnswer &answer) = 0;
};

} // namespace lavendertally::pipeline
