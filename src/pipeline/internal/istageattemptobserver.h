#pragma once

#include "protocol/types/stageresult.h"

#include <string>

namespace lavendertally::pipeline {

class StageAttempt;

/// Receives the text and the result of a stage attempt.
class IStageAttemptObserver
{
public:
    virtual ~IStageAttemptObserver() = default;

    /// Called with streamed text, in order.
    virtual void onAttemptText(const std::string &text) = 0;

    /// Called when the attempt has ended. A result with missing chunks is reported as
    /// StageStatus::Unknown.
    virtual void onAttemptResult(const protocol::StageResult &result) = 0;
};

} // namespace lavendertally::pipeline
