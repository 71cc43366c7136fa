#pragma once

#include "admission/iadmissioncontroller.h"
#include "admission/types/workitem.h"
#include "framework/types/timepoint.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace lavendertally::admission {

/// Arrival of one work item.
struct Arrival
{
    framework::TimePoint at;
    WorkItem work;
    framework::Milliseconds serviceTime;
};

/// Counts the outcomes of the arrivals of one priority class.
struct Tally
{
    std::uint32_t offered = 0;
    std::uint32_t inTime = 0;
    std::uint32_t late = 0;
    std::uint32_t refused = 0;
    std::uint32_t failed = 0;

    double attainment() const { return offered == 0 ? 1.0 : 1.0 * inTime / offered; }
};

/// Simulated backend server that enters cold start at scheduled times, without warning. If it runs
/// more than AdmissionLimits::coldConcurrency items in cold start, it is overloaded: all running
/// items fail and the cold start begins again.
class ServerModel
{
public:
    /// \param reportsCold whether its health reports show cold start
    ServerModel(IAdmissionController &controller, const AdmissionLimits &limits, bool reportsCold)
        : m_controller(controller), m_limits(limits), m_reportsCold(reportsCold)
    { }

    void scheduleColdStart(framework::TimePoint at) { m_coldStarts.insert(at); }

    /// Offers the arrivals at their times, in order.
    void run(const std::vector<Arrival> &arrivals)
    {
        for (const Arrival &arrival : arrivals) {
            advanceTo(arrival.at);
            m_arrivals.emplace(arrival.work.key, arrival);
            ++tallyOf(arrival).offered;
            const AdmissionDecision decision = m_controller.offer(arrival.work, m_now);
            if (decision.verdict != AdmissionVerdict::Wait) {
                apply(decision);
            }
            applyDecisions();
        }
    }

    void advanceTo(framework::TimePoint end);
    void clearTallies() { m_byClass = {}; }

    const Tally &tally(configuration::PriorityClass priority) const
    {
        return m_byClass[static_cast<std::size_t>(priority)];
    }
    Tally total() const;
    std::uint32_t overloads() const { return m_overloads; }

private:
    static constexpr std::uint32_t CompletionsUntilWarm = 10;

    Tally &tallyOf(const Arrival &arrival)
    {
        return m_byClass[static_cast<std::size_t>(arrival.work.priority)];
    }

    void enterColdStart()
    {
        m_completionsUntilWarm = CompletionsUntilWarm;
        overloadIfCold();
    }

    void completeNext()
    {
        const auto [end, key] = *m_running.begin();
        m_running.erase(m_running.begin());
        const Arrival &arrival = m_arrivals.at(key);
        ++(m_now <= arrival.work.deadline ? tallyOf(arrival).inTime : tallyOf(arrival).late);
        m_completionsUntilWarm -= m_completionsUntilWarm > 0 ? 1 : 0;
        m_controller.complete(key, Completion::Succeeded, arrival.serviceTime, m_now);
    }

    void report()
    {
        m_nextReport = m_nextReport + framework::Milliseconds(200);
        const bool cold = m_reportsCold && m_completionsUntilWarm > 0;
        m_controller.observeHealth({framework::Incarnation(1), true, cold}, m_now);
    }

    void applyDecisions()
    {
        for (const AdmissionDecision &decision : m_controller.takeDecisions(m_now)) {
            apply(decision);
        }
    }

    void apply(const AdmissionDecision &decision)
    {
        const Arrival &arrival = m_arrivals.at(decision.key);
        if (decision.verdict == AdmissionVerdict::Refuse) {
            ++tallyOf(arrival).refused;
            return;
        }
        m_running.emplace(m_now + arrival.serviceTime, decision.key);
        overloadIfCold();
    }

    void overloadIfCold()
    {
        if (m_completionsUntilWarm == 0 || m_running.size() <= m_limits.coldConcurrency) {
            return;
        }
        ++m_overloads;
        m_completionsUntilWarm = CompletionsUntilWarm;
        for (const auto &[end, key] : m_running) {
            ++tallyOf(m_arrivals.at(key)).failed;
            m_controller.complete(key, Completion::Failed, framework::Milliseconds(1), m_now);
        }
        m_running.clear();
    }

    IAdmissionController &m_controller;
    AdmissionLimits m_limits;
    bool m_reportsCold;
    framework::TimePoint m_now;
    std::uint32_t m_completionsUntilWarm = 0;
    framework::TimePoint m_nextReport;
    std::uint32_t m_overloads = 0;
    std::set<framework::TimePoint> m_coldStarts;
    std::map<WorkKey, Arrival> m_arrivals;
    std::multimap<framework::TimePoint, WorkKey> m_running;
    std::array<Tally, 3> m_byClass;
};

inline void ServerModel::advanceTo(framework::TimePoint end)
{
    while (true) {
        const auto wake = std::max(m_now, m_controller.nextWake());
        const auto done =
            m_running.empty() ? framework::TimePoint::never() : m_running.begin()->first;
        const auto cold =
            m_coldStarts.empty() ? framework::TimePoint::never() : *m_coldStarts.begin();
        const auto next = std::min({wake, done, cold, m_nextReport});
        if (next > end) {
            break;
        }
        m_now = next;
        if (next == cold) {
            m_coldStarts.erase(m_coldStarts.begin());
            enterColdStart();
        } else if (next == m_nextReport) {
            report();
        } else if (next == done) {
            completeNext();
        }
        applyDecisions();
    }
    m_now = end;
}

inline Tally ServerModel::total() const
{
    Tally sum;
    for (const Tally &tally : m_byClass) {
        sum.offered += tally.offered;
        sum.inTime += tally.inTime;
        sum.late += tally.late;
        sum.refused += tally.refused;
        sum.failed += tally.failed;
    }
    return sum;
}

} // namespace lavendertally::admission
