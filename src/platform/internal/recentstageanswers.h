#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/ids.h"

#include <deque>
#include <map>
#include <vector>

namespace lavendertally::stages {
struct StageCallOutcome;
}

namespace lavendertally::platform {

/// Recognises second copies of answers to stage calls. Such an answer names no call, and a copy
/// that arrives when the connection is in use again would be taken for the answer to the next call,
/// whose pieces would then get the results of others. No two calls have a result in common.
class RecentStageAnswers
{
public:
    /// Records an answer.
    /// \return whether it cannot be told apart from a copy of an earlier answer of that server
    bool record(const framework::Endpoint &server, const stages::StageCallOutcome &outcome);

private:
    /// First results of the last answers of each server, the newest last.
    std::map<framework::Endpoint, std::deque<framework::StageResultId>> m_firstResults;
};

} // namespace lavendertally::platform
