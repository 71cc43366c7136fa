#include "stages/internal/stagejobstate.h"

#include "framework/dependencyorder.h"
#include "stages/internal/ijobprogressobserver.h"

#include <algorithm>
#include <map>
#include <utility>

namespace lavendertally::stages {

namespace {

/// The platform numbers stages in any order. Those in a cycle are left out; no configuration with
/// one is in force.
protocol::StageJob withStagesInOrder(protocol::StageJob job)
{
    std::map<std::uint32_t, std::size_t> positions;
    for (std::size_t position = 0; position < job.stages.size(); ++position) {
        positions.emplace(job.stages[position].index, position);
    }
    std::vector<std::vector<std::size_t>> predecessors(job.stages.size());
    for (std::size_t position = 0; position < job.stages.size(); ++position) {
        for (const std::uint32_t index : job.stages[position].after) {
            if (const auto found = positions.find(index); found != positions.end()) {
                predecessors[position].push_back(found->second);
            }
        }
    }
    std::vector<protocol::JobStage> ordered;
    for (const std::size_t position : framework::dependencyOrder(predecessors)) {
        ordered.push_back(std::move(job.stages[position]));
    }
    job.stages = std::move(ordered);
    return job;
}

} // namespace

StageJobState::StageJobState(JobNumber number, JobKey key, protocol::StageJob job,
                             framework::TimePoint now, IJobProgressObserver &observer)
    : m_observer(observer), m_number(number), m_key(std::move(key)),
      m_job(withStagesInOrder(std::move(job))), m_objective(now + m_job.objectiveLeft),
      m_deadline(now + m_job.timeLeft)
{
    std::map<std::uint32_t, std::size_t> positions;
    for (const protocol::JobStage &stage : m_job.stages) {
        Stage state;
        state.pieces.resize(stage.pieces);
        state.waiting = stage.pieces;
        for (const std::uint32_t index : stage.after) {
            // Stages without pieces are not part of the job; nothing needs to wait for them.
            if (const auto found = positions.find(index); found != positions.end()) {
                state.predecessors.push_back(found->second);
            }
        }
        positions.emplace(stage.index, m_stages.size());
        m_stages.push_back(std::move(state));
    }
}

bool StageJobState::hasWaitingPieces(const framework::ServiceId &service) const
{
    for (std::size_t position = 0; position < m_stages.size(); ++position) {
        if (m_job.stages[position].service == service && m_stages[position].waiting > 0) {
            return true;
        }
    }
    return false;
}

bool StageJobState::isReady(std::size_t position) const
{
    const auto &inputStages = m_stages[position].predecessors;
    return std::all_of(inputStages.begin(), inputStages.end(),
                       [this](std::size_t predecessor) { return isStageDone(predecessor); });
}

bool StageJobState::hasInputs(std::size_t position) const
{
    const auto isAvailable = [](const Piece &piece) {
        return piece.state == PieceState::Done && !piece.result.id.isEmpty();
    };
    const auto &inputStages = m_stages[position].predecessors;
    return std::all_of(inputStages.begin(), inputStages.end(), [&](std::size_t predecessor) {
        const auto &pieces = m_stages[predecessor].pieces;
        return std::all_of(pieces.begin(), pieces.end(), isAvailable);
    });
}

bool StageJobState::isStageDone(std::size_t position) const
{
    const Stage &stage = m_stages[position];
    return stage.done == stage.pieces.size();
}

bool StageJobState::isDone() const
{
    for (std::size_t position = 0; position < m_stages.size(); ++position) {
        if (!isStageDone(position)) {
            return false;
        }
    }
    return true;
}

const std::vector<std::size_t> &StageJobState::predecessors(std::size_t position) const
{
    return m_stages[position].predecessors;
}

std::vector<std::size_t> StageJobState::dependents(std::size_t position) const
{
    std::vector<std::size_t> result;
    for (std::size_t other = 0; other < m_stages.size(); ++other) {
        const auto &inputStages = m_stages[other].predecessors;
        if (std::find(inputStages.begin(), inputStages.end(), position) != inputStages.end()) {
            result.push_back(other);
        }
    }
    return result;
}

std::uint32_t StageJobState::waitingPieces(std::size_t position) const
{
    return m_stages[position].waiting;
}

std::uint32_t StageJobState::startPiece(std::size_t position)
{
    Stage &stage = m_stages[position];
    const auto piece =
        std::find_if(stage.pieces.begin(), stage.pieces.end(),
                     [](const Piece &each) { return each.state == PieceState::Waiting; });
    piece->state = PieceState::Running;
    ++piece->attempts;
    --stage.waiting;
    m_observer.onWaitingChanged(*this, position, -1);
    if (!std::exchange(m_started, true)) {
        m_observer.onStarted(*this);
    }
    return static_cast<std::uint32_t>(piece - stage.pieces.begin());
}

void StageJobState::finishPiece(std::size_t position, std::uint32_t piece,
                                protocol::StageResultPlace result)
{
    Stage &stage = m_stages[position];
    stage.pieces[piece].state = PieceState::Done;
    stage.pieces[piece].result = std::move(result);
    ++stage.done;
}

std::uint32_t StageJobState::retryPiece(std::size_t position, std::uint32_t piece)
{
    Stage &stage = m_stages[position];
    stage.pieces[piece].state = PieceState::Waiting;
    ++stage.waiting;
    m_observer.onWaitingChanged(*this, position, 1);
    return stage.pieces[piece].attempts;
}

void StageJobState::returnPiece(std::size_t position, std::uint32_t piece)
{
    --m_stages[position].pieces[piece].attempts;
    retryPiece(position, piece);
}

std::vector<framework::StageResultId>
StageJobState::discardResults(std::size_t position,
                              const std::vector<framework::StageResultId> &lost)
{
    Stage &stage = m_stages[position];
    std::vector<framework::StageResultId> discarded;
    std::uint32_t restarted = 0;
    for (Piece &piece : stage.pieces) {
        const framework::StageResultId &id = piece.result.id;
        const bool isLost = id.isEmpty() || std::find(lost.begin(), lost.end(), id) != lost.end();
        if (piece.state != PieceState::Done || !isLost) {
            continue;
        }
        if (!id.isEmpty()) {
            discarded.push_back(id);
        }
        piece = Piece();
        ++restarted;
    }
    stage.waiting += restarted;
    stage.done -= restarted;
    m_observer.onWaitingChanged(*this, position, restarted);
    return discarded;
}

std::uint32_t StageJobState::countInputLoss(std::size_t position)
{
    return ++m_stages[position].inputLosses;
}

std::vector<framework::StageResultId> StageJobState::inputs(std::size_t position) const
{
    std::vector<framework::StageResultId> result;
    for (const std::size_t predecessor : m_stages[position].predecessors) {
        for (const Piece &piece : m_stages[predecessor].pieces) {
            result.push_back(piece.result.id);
        }
    }
    return result;
}

framework::AvailabilityZoneId StageJobState::preferredZone(std::size_t position,
                                                           framework::Bytes minSize) const
{
    std::map<framework::AvailabilityZoneId, std::int64_t> bytes;
    for (const std::size_t predecessor : m_stages[position].predecessors) {
        for (const Piece &piece : m_stages[predecessor].pieces) {
            bytes[piece.result.zone] += m_job.stages[predecessor].resultSize.value();
        }
    }
    if (dependents(position).empty()) {
        const protocol::JobStage &stage = m_job.stages[position];
        bytes[m_job.zone] += stage.resultSize.value() * stage.pieces;
    }
    const auto largest =
        std::max_element(bytes.begin(), bytes.end(),
                         [](const auto &a, const auto &b) { return a.second < b.second; });
    const bool isLarge = largest != bytes.end() && largest->second >= minSize.value();
    return isLarge ? largest->first : framework::AvailabilityZoneId();
}

std::vector<protocol::StageResultPlace> StageJobState::results(std::size_t position) const
{
    std::vector<protocol::StageResultPlace> found;
    for (const Piece &piece : m_stages[position].pieces) {
        if (piece.state == PieceState::Done && !piece.result.id.isEmpty()) {
            found.push_back(piece.result);
        }
    }
    return found;
}

std::vector<protocol::StageResultPlace> StageJobState::finalResults() const
{
    std::vector<protocol::StageResultPlace> found;
    for (std::size_t position = 0; position < m_stages.size(); ++position) {
        if (dependents(position).empty()) {
            const auto more = results(position);
            found.insert(found.end(), more.begin(), more.end());
        }
    }
    return found;
}

std::vector<framework::StageResultId> StageJobState::allResults() const
{
    std::vector<framework::StageResultId> found;
    for (std::size_t position = 0; position < m_stages.size(); ++position) {
        for (const protocol::StageResultPlace &place : results(position)) {
            found.push_back(place.id);
        }
    }
    return found;
}

std::vector<framework::StageResultId> StageJobState::takeResults(std::size_t position)
{
    std::vector<framework::StageResultId> taken;
    for (Piece &piece : m_stages[position].pieces) {
        if (!piece.result.id.isEmpty()) {
            taken.push_back(std::exchange(piece.result, {}).id);
        }
    }
    return taken;
}

} // namespace lavendertally::stages
