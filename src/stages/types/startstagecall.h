#pragma once

#include "framework/types/milliseconds.h"
#include "membership/types/backendserverentry.h"
#include "stages/types/piecerequest.h"
#include "stages/types/stagecallid.h"

#include <vector>

namespace lavendertally::stages {

/// Command: send a batch of pieces to a backend server.
struct StartStageCall
{
    StageCallId call;
    membership::BackendServerEntry server;
    std::vector<PieceRequest> pieces;
    /// How long to wait for the answer.
    framework::Milliseconds timeout;
};

} // namespace lavendertally::stages
