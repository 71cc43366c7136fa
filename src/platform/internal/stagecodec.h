#pragma once

#include "stages/types/piecerequest.h"
#include "stages/types/stagecalloutcome.h"

#include <string>
#include <vector>

namespace lavendertally::http {
struct HttpResponse;
}

namespace lavendertally::platform {

std::string encodePieceOrders(const std::vector<stages::PieceRequest> &pieces);

std::string encodeResultIds(const std::vector<framework::StageResultId> &results);

/// \return how a stage call ended; an answer that cannot be read counts as unknown
stages::StageCallOutcome decodeStageAnswer(const http::HttpResponse &response);

} // namespace lavendertally::platform
