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

/// Progress of one job through its stages.
class StageJobState
{
public:
    StageJobState(JobNumber number, JobKey key, protocol::StageJob job, framework::TimePoint now);

    JobNumber number() const { return m_number; }
    const JobKey &key() const { return m_key; }
    const protocol::StageJob &job() const { return m_job; }
    framework::TimePoint objective() const { return m_objective; }
    framework::TimePoint deadline() const { return m_deadline; }
    bool hasStarted() const { return m_started; }

    std::size_t stageCount() const { return m_stages.size(); }
    const protocol::JobStage &stage(std::size_t position) const { return m_job.stages[position]; }

    /// \return whether a stage of that service has pieces to send
    bool waitsFor(const framework::ServiceId &service) const;
    /// \return whether all results that the stage needs are there
    bool isReady(std::size_t position) const;
    bool isStageDone(std::size_t position) const;
    bool isDone() const;
    /// \return positions of the stages whose results this one needs
    const std::vector<std::size_t> &predecessors(std::size_t position) const;
    /// \return positions of the stages that need the results of this one
    std::vector<std::size_t> dependents(std::size_t position) const;

    /// \return pieces of the stage that wait to be sent
    std::uint32_t waitingPieces(std::size_t position) const;
    /// Takes one waiting piece for a call.
    std::uint32_t startPiece(std::size_t position);
    /// A piece was made.
    void finishPiece(std::size_t position, std::uint32_t piece, protocol::StageResultPlace result);
    /// A piece failed and waits again. \return attempts so far
    std::uint32_t retryPiece(std::size_t position, std::uint32_t piece);
    /// Results of the stage are gone; all its pieces wait again.
    void restartStage(std::size_t position);

    /// \return results of the stages that this one needs, in order
    std::vector<framework::StageResultId> inputs(std::size_t position) const;
    /// \param least smaller amounts of data do not count
    /// \return zone in which most of the stage's inputs lie, or in which its results are wanted;
    /// empty if neither is large
    framework::AvailabilityZoneId preferredZone(std::size_t position, framework::Bytes least) const;
    std::vector<protocol::StageResultPlace> results(std::size_t position) const;
    /// \return results of the stages that no other stage follows
    std::vector<protocol::StageResultPlace> finalResults() const;
    /// \return all results that exist now
    std::vector<framework::StageResultId> allResults() const;
    /// Forgets the results of a stage that nothing needs any more.
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
        std::vector<std::size_t> after;
    };

    JobNumber m_number;
    JobKey m_key;
    protocol::StageJob m_job;
    framework::TimePoint m_objective;
    framework::TimePoint m_deadline;
    bool m_started = false;
    std::vector<Stage> m_stages;
};

} // namespace lavendertally::stages
