#pragma once

#include "protocol/types/stageresult.h"

#include <string>

namespace lavendertally::pipeline {

class StageAttempt;

/// Receives what an attempt brings.
class IStageAttemptObserver
{
public:
    virtual ~IStageAttemptObserver() = default;

    /// Text that is next in order.
    virtual void onAttemptText(const std::string &text) = 0;

    /// The attempt ended; an answer with missing chunks comes as StageStatus::Unknown.
    virtual void onAttemptResult(const protocol::StageResult &result) = 0;
};

} // namespace lavendertally::pipeline
