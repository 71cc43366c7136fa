#pragma once

#include "framework/types/timepoint.h"
#include "protocol/types/stagejob.h"
#include "protocol/types/stageresultplace.h"
#include "stages/internal/jobnumber.h"
#include "stages/types/jobkey.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace lavendertally::stages {

class IJobProgressObserver;

/// Progress of one job through its stages. Stages are addressed by their position in the job, which
/// may differ from their index in the route: each comes after those whose results it needs.
class StageJobState
{
public:
    /// \param observer must outlive this object; not called from within this constructor
    StageJobState(JobNumber number, JobKey key, protocol::StageJob job, framework::TimePoint now,
                  IJobProgressObserver &observer);

    JobNumber number() const { return m_number; }
    const JobKey &key() const { return m_key; }
    const protocol::StageJob &job() const { return m_job; }
    framework::TimePoint objective() const { return m_objective; }
    framework::TimePoint deadline() const { return m_deadline; }
    /// \return whether any piece has been sent
    bool hasStarted() const { return m_started; }

    std::size_t stageCount() const { return m_stages.size(); }
    const protocol::JobStage &stage(std::size_t position) const { return m_job.stages[position]; }

    /// \return whether a stage of that service has pieces that wait to be sent
    bool hasWaitingPieces(const framework::ServiceId &service) const;
    /// \return whether all preceding stages are done
    bool isReady(std::size_t position) const;
    /// \return whether all preceding stages are done and none of their results was lost or freed
    bool hasInputs(std::size_t position) const;
    bool isStageDone(std::size_t position) const;
    bool isDone() const;
    /// \return positions of the stages whose results the stage needs
    const std::vector<std::size_t> &predecessors(std::size_t position) const;
    /// \return positions of the stages that need the results of the stage
    std::vector<std::size_t> dependents(std::size_t position) const;

    /// \return number of pieces of the stage that wait to be sent
    std::uint32_t waitingPieces(std::size_t position) const;
    /// Marks the first waiting piece as running. At least one must be waiting.
    /// \return index of the piece
    std::uint32_t startPiece(std::size_t position);
    /// Marks a piece as done and stores where its result is.
    void finishPiece(std::size_t position, std::uint32_t piece, protocol::StageResultPlace result);
    /// Marks a failed piece as waiting again.
    /// \return attempts so far
    std::uint32_t retryPiece(std::size_t position, std::uint32_t piece);
    /// Marks a piece that could not be run as waiting again, as if it had not been sent.
    void returnPiece(std::size_t position, std::uint32_t piece);
    /// Discards those results of the stage that are in \p lost or were taken before; their pieces
    /// wait again, with no attempts.
    /// \return the discarded results that had not been taken
    std::vector<framework::StageResultId>
    discardResults(std::size_t position, const std::vector<framework::StageResultId> &lost);
    /// Notes that inputs of the stage were lost.
    /// \return how often that has happened
    std::uint32_t countInputLoss(std::size_t position);

    /// \return results of the preceding stages in order; the id of a result that was taken is empty
    std::vector<framework::StageResultId> inputs(std::size_t position) const;
    /// \param minSize smaller amounts of data in one zone do not count
    /// \return zone that holds most of the stage's inputs or, for a final stage, in which its
    /// results are wanted; empty if any zone will do
    framework::AvailabilityZoneId preferredZone(std::size_t position,
                                                framework::Bytes minSize) const;
    std::vector<protocol::StageResultPlace> results(std::size_t position) const;
    /// \return results of the stages without dependents
    std::vector<protocol::StageResultPlace> finalResults() const;
    /// \return all results that are available now
    std::vector<framework::StageResultId> allResults() const;
    /// Removes and returns the results of the stage, which stays done.
    std::vector<framework::StageResultId> takeResults(std::size_t position);

private:
    enum class PieceState
    {
        Waiting,
        Running,
        Done,
    };

    struct Piece
    {
        PieceState state = PieceState::Waiting;
        std::uint32_t attempts = 0;
        protocol::StageResultPlace result;
    };

    struct Stage
    {
        std::vector<Piece> pieces;
        std::uint32_t waiting = 0;
        std::uint32_t done = 0;
        std::uint32_t inputLosses = 0;
        std::vector<std::size_t> predecessors;
    };

    IJobProgressObserver &m_observer;
    JobNumber m_number;
    JobKey m_key;
    protocol::StageJob m_job;
    framework::TimePoint m_objective;
    framework::TimePoint m_deadline;
    bool m_started = false;
    std::vector<Stage> m_stages;
};

} // namespace lavendertally::stages
