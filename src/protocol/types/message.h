#pragma once

#include "protocol/types/loadquery.h"
#include "protocol/types/loadreport.h"
#include "protocol/types/revisionquery.h"
#include "protocol/types/revisionreply.h"
#include "protocol/types/stagechunk.h"
#include "protocol/types/stagerequest.h"
#include "protocol/types/stageresult.h"

#include <variant>

namespace lavendertally::protocol {

/// Any message of the inner protocol: stage calls, configuration updates and load probes.
using Message = std::variant<StageRequest, StageChunk, StageResult, RevisionQuery, RevisionReply,
                             LoadQuery, LoadReport>;

} // namespace lavendertally::protocol
