#pragma once

#include "protocol/types/connectionleases.h"
#include "protocol/types/crashreport.h"
#include "protocol/types/peerhello.h"
#include "protocol/types/peerping.h"
#include "protocol/types/peerpong.h"
#include "protocol/types/permitgrant.h"
#include "protocol/types/permitrequest.h"
#include "protocol/types/rolloutreport.h"
#include "protocol/types/rolloutsteps.h"
#include "protocol/types/stageholdings.h"
#include "protocol/types/stagejob.h"
#include "protocol/types/stagejobcancel.h"
#include "protocol/types/stagejoboutcome.h"
#include "protocol/types/stageresultrelease.h"
#include "protocol/types/topicquery.h"
#include "protocol/types/topicstate.h"

#include <variant>

namespace lavendertally::protocol {

/// Any message on a link between two daemons.
using PeerMessage =
    std::variant<PeerHello, PeerPing, PeerPong, StageJob, StageJobCancel, StageJobOutcome,
                 StageResultRelease, StageHoldings, TopicQuery, TopicState, CrashReport,
                 PermitRequest, PermitGrant, RolloutReport, RolloutSteps, ConnectionLeases>;

} // namespace lavendertally::protocol
