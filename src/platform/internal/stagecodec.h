#pragma once

#include "framework/result.h"
#include "framework/types/units.h"
#include "stages/types/piecerequest.h"
#include "stages/types/stagecalloutcome.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace lavendertally::http {
struct HttpResponse;
}

namespace lavendertally::platform {

/// \return the body of a call, or EncodeError
framework::Result<std::string> encodePieceOrders(const std::vector<stages::PieceRequest> &pieces);

std::string encodeResultIds(const std::vector<framework::StageResultId> &results);

/// \param pieceCount pieces of the call; an answer about another number of pieces is not its answer
/// \return how a stage call ended; an answer that cannot be read counts as unknown
stages::StageCallOutcome decodeStageAnswer(const http::HttpResponse &response,
                                           std::size_t pieceCount);

/// \return whether the response can be the answer to a call that frees results: its body holds
/// nothing that another call asks for
bool isFreeAnswer(const http::HttpResponse &response);

/// \return the most result storage that can be free according to a backend server's report, or
/// nothing if the response is no such report
std::optional<framework::Bytes> decodeFreeStorage(const http::HttpResponse &response);

} // namespace lavendertally::platform
