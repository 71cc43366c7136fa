#include "admission/internal/classqueue.h"

#include <algorithm>
#include <tuple>

namespace lavendertally::admission {

ClassQueue::DeadlineOrder::value_type ClassQueue::positionOf(const WaitingItem &item)
{
    return {item.precedence, item.work.deadline, item.work.key};
}

bool ClassQueue::isInvested(const DeadlineOrder &items)
{
    return std::get<QueuePrecedence>(*items.begin()) == QueuePrecedence::Invested;
}

const WorkKey &ClassQueue::keyOf(const DeadlineOrder::value_type &position)
{
    return std::get<WorkKey>(position);
}

void ClassQueue::add(const WaitingItem &item)
{
    TeamQueue &team = m_teams[item.work.team];
    team.share = std::max<std::uint32_t>(1, item.work.share);
    team.pipelines[item.work.pipeline].insert(positionOf(item));
    ++team.size;
    ++m_size;
}

void ClassQueue::remove(const WaitingItem &item)
{
    const auto team = m_teams.find(item.work.team);
    const auto pipeline = team->second.pipelines.find(item.work.pipeline);
    pipeline->second.erase(positionOf(item));
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
    team.pipelineShares.charge(item.work.pipeline, item.cost, item.pipelineShare);
    m_teamShares.charge(item.work.team, item.cost, team.share);
    remove(item);
}

const WorkKey &ClassQueue::front() const
{
    const DeadlineOrder *best = nullptr;
    std::pair<bool, std::int64_t> bestOrder;
    for (const auto &[id, team] : m_teams) {
        const DeadlineOrder &candidate = nextPipeline(team);
        const std::pair order(!isInvested(candidate), m_teamShares.startTag(id));
        if (!best || std::tie(order, *candidate.begin()) < std::tie(bestOrder, *best->begin())) {
            best = &candidate;
            bestOrder = order;
        }
    }
    return keyOf(*best->begin());
}

const WorkKey &ClassQueue::shedCandidate() const
{
    const auto isLessLoaded = [](const Teams::value_type &a, const Teams::value_type &b) {
        return a.second.size * b.second.share < b.second.size * a.second.share;
    };
    const auto team = std::max_element(m_teams.begin(), m_teams.end(), isLessLoaded);
    return keyOf(*longestPipeline(team->second).rbegin());
}

std::size_t ClassQueue::itemsAheadInPipeline(const WaitingItem &item) const
{
    const auto team = m_teams.find(item.work.team);
    if (team == m_teams.end()) {
        return 0;
    }
    const auto pipeline = team->second.pipelines.find(item.work.pipeline);
    if (pipeline == team->second.pipelines.end()) {
        return 0;
    }
    const auto end = pipeline->second.lower_bound(positionOf(item));
    return static_cast<std::size_t>(std::distance(pipeline->second.begin(), end));
}

std::size_t ClassQueue::itemsAhead(const WaitingItem &item) const
{
    const std::size_t earlier = itemsAheadInPipeline(item);
    std::uint64_t otherShares = 0;
    for (const auto &[id, other] : m_teams) {
        otherShares += id == item.work.team ? 0 : other.share;
    }
    // Other teams start items in proportion to their shares while this team starts its own.
    const std::uint64_t share = std::max<std::uint32_t>(1, item.work.share);
    const std::uint64_t others = (earlier + 1) * otherShares / share;
    return std::min<std::size_t>(m_size, earlier + others);
}

const ClassQueue::DeadlineOrder &ClassQueue::nextPipeline(const TeamQueue &team)
{
    // Returns are no reason to pass over a pipeline: one whose items are rarely refused, such as
    // the large ones of a kind, would get nothing while others return.
    const auto order = [&team](const auto &entry) {
        return std::pair(!isInvested(entry.second), team.pipelineShares.startTag(entry.first));
    };
    const auto isServedEarlier = [&order](const auto &a, const auto &b) {
        const auto orderOfA = order(a);
        const auto orderOfB = order(b);
        return std::tie(orderOfA, *a.second.begin()) < std::tie(orderOfB, *b.second.begin());
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
