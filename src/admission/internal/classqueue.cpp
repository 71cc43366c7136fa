#include "admission/internal/classqueue.h"

#include <algorithm>
#include <tuple>

namespace lavendertally::admission {

void ClassQueue::add(const WaitingItem &item)
{
    TeamQueue &team = m_teams[item.work.team];
    team.share = std::max<std::uint32_t>(1, item.work.share);
    team.pipelines[item.work.pipeline].emplace(item.work.deadline, item.work.key);
    ++team.size;
    ++m_size;
}

void ClassQueue::remove(const WaitingItem &item)
{
    const auto team = m_teams.find(item.work.team);
    const auto pipeline = team->second.pipelines.find(item.work.pipeline);
    pipeline->second.erase({item.work.deadline, item.work.key});
    if (pipeline->second.empty()) {
        team->second.pipelines.erase(pipeline);
    }
    --team->second.size;
    if (team->second.size == 0) {
        m_teams.erase(team);
    }
    --m_size;
    if (m_size == 0) {
        m_teamShares.reset();
    }
}

void ClassQueue::start(const WaitingItem &item)
{
    TeamQueue &team = m_teams.at(item.work.team);
    team.pipelineShares.charge(item.work.pipeline, item.cost, 1);
    m_teamShares.charge(item.work.team, item.cost, team.share);
    remove(item);
}

const WorkKey &ClassQueue::front() const
{
    const DeadlineOrder *best = nullptr;
    std::int64_t bestTag = 0;
    for (const auto &[id, team] : m_teams) {
        const DeadlineOrder &candidate = nextPipeline(team);
        const std::int64_t tag = m_teamShares.startTag(id);
        if (!best || std::tie(tag, *candidate.begin()) < std::tie(bestTag, *best->begin())) {
            best = &candidate;
            bestTag = tag;
        }
    }
    return best->begin()->second;
}

const WorkKey &ClassQueue::shedCandidate() const
{
    const auto isLessLoaded = [](const Teams::value_type &a, const Teams::value_type &b) {
        return a.second.size * b.second.share < b.second.size * a.second.share;
    };
    const auto team = std::max_element(m_teams.begin(), m_teams.end(), isLessLoaded);
    return longestPipeline(team->second).rbegin()->second;
}

std::size_t ClassQueue::itemsAhead(const WorkItem &item) const
{
    const auto team = m_teams.find(item.team);
    std::size_t earlier = 0;
    std::uint64_t otherShares = 0;
    for (const auto &[id, other] : m_teams) {
        otherShares += id == item.team ? 0 : other.share;
    }
    if (team != m_teams.end()) {
        const auto pipeline = team->second.pipelines.find(item.pipeline);
        if (pipeline != team->second.pipelines.end()) {
            const auto end = pipeline->second.lower_bound({item.deadline, item.key});
            earlier = static_cast<std::size_t>(std::distance(pipeline->second.begin(), end));
        }
    }
    // Other teams start items in proportion to their shares while this team starts its own.
    const std::uint64_t share = std::max<std::uint32_t>(1, item.share);
    const std::uint64_t others = (earlier + 1) * otherShares / share;
    return std::min<std::size_t>(m_size, earlier + others);
}

const ClassQueue::DeadlineOrder &ClassQueue::nextPipeline(const TeamQueue &team)
{
    const auto isServedEarlier = [&team](const auto &a, const auto &b) {
        const std::int64_t tagOfA = team.pipelineShares.startTag(a.first);
        const std::int64_t tagOfB = team.pipelineShares.startTag(b.first);
        return std::tie(tagOfA, *a.second.begin()) < std::tie(tagOfB, *b.second.begin());
    };
    return std::min_element(team.pipelines.begin(), team.pipelines.end(), isServedEarlier)->second;
}

const ClassQueue::DeadlineOrder &ClassQueue::longestPipeline(const TeamQueue &team)
{
    const auto shorter = [](const auto &a, const auto &b) {
        return std::pair(a.second.size(), *a.second.rbegin())
            < std::pair(b.second.size(), *b.second.rbegin());
    };
    return std::max_element(team.pipelines.begin(), team.pipelines.end(), shorter)->second;
}

} // namespace lavendertally::admission
