#include "stages/internal/stagequeue.h"

#include "stages/internal/stagejobstate.h"

#include <algorithm>
#include <tuple>

namespace lavendertally::stages {

void StageQueue::add(const QueuedStage &queued)
{
    const bool isQueued =
        std::any_of(m_stages.begin(), m_stages.end(), [&queued](const QueuedStage &other) {
            return other.job == queued.job && other.stage == queued.stage;
        });
    if (!isQueued) {
        m_stages.push_back(queued);
    }
}

void StageQueue::removeJob(const StageJobState &job)
{
    std::erase_if(m_stages, [&job](const QueuedStage &queued) { return queued.job == &job; });
}

void StageQueue::removeStage(const StageJobState &job, std::size_t stage)
{
    std::erase_if(m_stages, [&job, stage](const QueuedStage &queued) {
        return queued.job == &job && queued.stage == stage;
    });
}

void StageQueue::removeFullySent()
{
    std::erase_if(m_stages, [](const QueuedStage &queued) {
        return queued.job->waitingPieces(queued.stage) == 0;
    });
}

void StageQueue::sort(framework::TimePoint now)
{
    const auto key = [now](const QueuedStage &queued) {
        const bool isLate = now > queued.latestStart;
        return std::make_tuple(queued.notBefore > now, isLate, queued.effectiveLatestStart);
    };
    std::stable_sort(
        m_stages.begin(), m_stages.end(),
        [&key](const QueuedStage &a, const QueuedStage &b) { return key(a) < key(b); });
}

} // namespace lavendertally::stages
