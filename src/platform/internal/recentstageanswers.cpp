#include "platform/internal/recentstageanswers.h"

#include "stages/types/pieceoutcome.h"
#include "stages/types/stagecalloutcome.h"

#include <algorithm>

namespace lavendertally::platform {

namespace {

/// Answers of a server that are remembered; a server answers a few calls in the time within which
/// its copies arrive.
constexpr std::size_t AnswersPerServer = 16;

} // namespace

bool RecentStageAnswers::record(const framework::Endpoint &server,
                                const stages::StageCallOutcome &outcome)
{
    const auto first =
        std::find_if(outcome.pieces.begin(), outcome.pieces.end(),
                     [](const stages::PieceOutcome &piece) { return !piece.result.isEmpty(); });
    if (first == outcome.pieces.end()) {
        return true;
    }
    std::deque<framework::StageResultId> &known = m_firstResults[server];
    if (std::find(known.begin(), known.end(), first->result) != known.end()) {
        return true;
    }
    known.push_back(first->result);
    if (known.size() > AnswersPerServer) {
        known.pop_front();
    }
    return false;
}

} // namespace lavendertally::platform
