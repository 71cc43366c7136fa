#pragma once

#include "framework/types/ids.h"
#include "framework/types/units.h"
#include "stages/types/stagecalloutcome.h"
#include "stages/types/startstagecall.h"

#include <functional>
#include <vector>

namespace lavendertally::stages {

/// Sends calls to the backend servers that run stages. Used on the daemon's loop only.
class IStageCallPort
{
public:
    virtual ~IStageCallPort() = default;

    /// Sends a batch of pieces to a backend server.
    /// \param done called once; from within this function only if the call cannot be sent
    virtual void startCall(const StartStageCall &call,
                           std::function<void(StageCallOutcome)> done) = 0;

    /// Asks the backend servers that store these results to delete them. Best effort: a result that
    /// is not deleted expires at the end of its lifetime.
    /// \param done called for each backend server that answered, with the results it has deleted
    virtual void
    freeResults(const std::vector<framework::StageResultId> &results,
                std::function<void(const std::vector<framework::StageResultId> &)> done) = 0;

    /// Asks a backend server how much of its result storage is free. Best effort.
    /// \param done called once if the server tells, never from within this function
    virtual void queryFreeStorage(const membership::BackendServerEntry &server,
                                  std::function<void(framework::Bytes)> done) = 0;
};

} // namespace lavendertally::stages
