#pragma once

#include "framework/frameworkmodule.h"
#include "framework/imetrics.h"
#include "framework/testing/fakeclock.h"
#include "framework/testing/fakescheduler.h"
#include "framework/testing/recordinglogger.h"
#include "membership/testing/fakebackendservers.h"
#include "peers/idaemondirectory.h"
#include "peers/testing/fakepeernetwork.h"
#include "rollout/irolloutstatusstore.h"
#include "rollout/irollouttraffic.h"
#include "rollout/rolloutmodule.h"
#include "rollout/types/rolloutorder.h"
#include "routing/types/serverquery.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lavendertally::rollout {

/// Directory that the test sets.
class FixedDirectory final : public peers::IDaemonDirectory
{
public:
    const std::vector<peers::DaemonAddress> &ranking() const override { return addresses; }
    std::size_t limitSharerCount() const override
    {
        return std::max<std::size_t>(addresses.size(), 1);
    }
    void onChange(std::function<void()> /*callback*/) override { }

    std::vector<peers::DaemonAddress> addresses;
};

/// The topic of the statuses, as all daemons see it.
struct StatusTopic
{
    std::map<framework::ServiceId, RolloutStatus> statuses;
    std::vector<RolloutStatus> history;
    framework::LogOffset end;
    bool isAvailable = true;
};

/// Access of one daemon to the topic; answers come 20 ms later.
class FakeStatusStore final : public IRolloutStatusStore
{
public:
    FakeStatusStore(StatusTopic &topic, framework::IScheduler &scheduler)
        : m_topic(topic), m_scheduler(scheduler)
    { }

    void read(std::function<void(std::optional<Content>)> callback) override
    {
        m_timer = m_scheduler.callAfter(Latency, [this, callback = std::move(callback)] {
            if (!m_topic.isAvailable) {
                callback(std::nullopt);
                return;
            }
            Content content;
            content.end = m_topic.end;
            for (const auto &[service, status] : m_topic.statuses) {
                content.statuses.push_back(status);
            }
            callback(content);
        });
    }
    void write(const RolloutStatus &status, framework::LogOffset at,
               std::function<void(StatusWriteOutcome)> callback) override
    {
        m_timer =
            m_scheduler.callAfter(Latency, [this, status, at, callback = std::move(callback)] {
                if (!m_topic.isAvailable) {
                    callback(StatusWriteOutcome::Failed);
                } else if (at != m_topic.end) {
                    callback(StatusWriteOutcome::Outdated);
                } else {
                    m_topic.statuses[status.service] = status;
                    m_topic.history.push_back(status);
                    m_topic.end = m_topic.end.next();
                    callback(StatusWriteOutcome::Written);
                }
            });
    }

private:
    static constexpr framework::Milliseconds Latency{20};

    StatusTopic &m_topic;
    framework::IScheduler &m_scheduler;
    std::unique_ptr<framework::ITimer> m_timer;
};

/// A fleet of daemons before servers of two versions.
class RolloutFleet : public testing::Test
{
protected:
    struct Daemon
    {
        Daemon(RolloutFleet &fleet, const std::string &name, std::uint64_t start)
            : id(name), network(id, fleet.m_clock), statuses(fleet.m_topic, fleet.m_scheduler),
              traffic(RolloutModule::makeTraffic(fleet.m_servers, fleet.m_bounds, start,
                                                 fleet.m_clock, fleet.m_logger, *fleet.m_metrics)),
              exchange(RolloutModule::makeExchange(id, *traffic, statuses, fleet.m_bounds, start,
                                                   network, directory, fleet.m_scheduler,
                                                   fleet.m_clock, fleet.m_logger, *fleet.m_metrics))
        { }

        framework::DaemonId id;
        peers::FakePeerNetwork network;
        FixedDirectory directory;
        FakeStatusStore statuses;
        std::unique_ptr<IRolloutTraffic> traffic;
        std::unique_ptr<peers::IPeerObserver> exchange;
        std::vector<std::pair<framework::TimePoint, framework::BackendServerId>> calls;
        std::size_t sent = 0;
        std::size_t sentToTarget = 0;
        framework::TimePoint lastToTarget;
        framework::TimePoint lastToOld;
    };

    static constexpr framework::Milliseconds Duration{12000};
    inline static const framework::ServiceId Service{"s"};

    RolloutFleet() : m_scheduler(m_clock), m_metrics(framework::FrameworkModule::makeMetrics())
    {
        m_clock.set(framework::TimePoint(1000000));
        m_bounds.exposureShare = 0.1;
        m_bounds.exposureSlack = 50;
        for (int each = 0; each < 4; ++each) {
            addServer("old" + std::to_string(each), "v1", 1);
            addServer("new" + std::to_string(each), "v2", 2);
        }
    }

    void addServer(const std::string &id, const char *version, std::uint64_t incarnation)
    {
        membership::BackendServerEntry entry;
        entry.id = framework::BackendServerId(id);
        entry.service = Service;
        entry.version = framework::SoftwareVersion(version);
        entry.incarnation = framework::Incarnation(incarnation);
        m_servers.add(entry);
    }
    void removeServers(const char *prefix)
    {
        for (int each = 0; each < 4; ++each) {
            m_servers.remove(framework::BackendServerId(prefix + std::to_string(each)));
        }
    }

    void addDaemons(std::size_t count)
    {
        for (std::size_t each = 0; each < count; ++each) {
            const std::string name = "d" + std::to_string(100 + m_daemons.size());
            m_daemons.push_back(std::make_unique<Daemon>(*this, name, ++m_starts));
        }
        link();
    }
    void link()
    {
        for (const auto &daemon : m_daemons) {
            daemon->directory.addresses.clear();
            daemon->network.links.clear();
            for (const auto &other : m_daemons) {
                if (other == nullptr) {
                    continue;
                }
                daemon->directory.addresses.push_back({other->id, {}});
                if (other != daemon) {
                    daemon->network.links[other->id] = &other->network;
                }
            }
        }
    }
    void cutOff(std::size_t index)
    {
        for (const auto &other : m_daemons) {
            other->network.links.erase(m_daemons[index]->id);
            other->network.unreachable.insert(m_daemons[index]->id);
            m_daemons[index]->network.unreachable.insert(other->id);
        }
        m_daemons[index]->network.links.clear();
    }
    void rejoin()
    {
        link();
        for (const auto &daemon : m_daemons) {
            daemon->network.unreachable.clear();
        }
    }
    /// The process ends; its registration is gone at once.
    void kill(std::size_t index)
    {
        m_retired.push_back(std::move(m_daemons[index]));
        m_retired.back()->exchange.reset();
        m_daemons.erase(m_daemons.begin() + static_cast<std::ptrdiff_t>(index));
        link();
    }
    /// The process starts anew under its id.
    void restart(std::size_t index)
    {
        m_retired.push_back(std::move(m_daemons[index]));
        m_retired.back()->exchange.reset();
        m_daemons[index] =
            std::make_unique<Daemon>(*this, m_retired.back()->id.value(), ++m_starts);
        link();
        if (m_order) {
            m_daemons[index]->traffic->put(*m_order);
        }
    }

    void order(const char *target, std::uint64_t offset = 10, std::uint64_t era = 1)
    {
        m_order = RolloutOrder{Service,
                               framework::SoftwareVersion(target),
                               Duration,
                               {framework::StoreEra(era), framework::LogOffset(offset)}};
        for (const auto &daemon : m_daemons) {
            daemon->traffic->put(*m_order);
        }
    }
    void takeBack()
    {
        m_order.reset();
        for (const auto &daemon : m_daemons) {
            daemon->traffic->remove(Service);
        }
    }

    /// Each daemon sends \p perStep requests in each 50 ms; their answers take 50 ms.
    void play(std::int64_t milliseconds, int perStep = 1)
    {
        constexpr std::int64_t Step = 50;
        for (std::int64_t time = 0; time < milliseconds; time += Step) {
            for (const auto &daemon : m_daemons) {
                endCalls(*daemon);
                for (int each = 0; each < perStep; ++each) {
                    send(*daemon);
                }
            }
            m_scheduler.advance(framework::Milliseconds(Step));
        }
    }
    void endCalls(Daemon &daemon)
    {
        const framework::TimePoint now = m_clock.now();
        for (const auto &[started, server] : std::exchange(daemon.calls, {})) {
            const bool isNew = server.value().starts_with("new");
            const bool hasFailed = isNew && m_isNewBad && ++m_newAnswers % 3 == 0;
            m_badAnswers += hasFailed ? 1 : 0;
            daemon.traffic->answered(server, framework::RouteId("r"),
                                     hasFailed ? AnswerQuality::Failed : AnswerQuality::Sound,
                                     now - started);
            daemon.traffic->callEnded(server, now);
        }
    }
    void send(Daemon &daemon)
    {
        const framework::TimePoint now = m_clock.now();
        routing::ServerQuery query;
        query.service = Service;
        auto servers = m_servers.admitting(Service);
        daemon.traffic->restrict(query, servers, now);
        if (servers.empty()) {
            ++m_refused;
            return;
        }
        daemon.traffic->prefer(query, servers, now);
        const membership::BackendServerEntry &server = *servers[++m_turn % servers.size()];
        daemon.traffic->callStarted(server, now);
        daemon.calls.emplace_back(now, server.id);
        ++daemon.sent;
        const bool toTarget = server.id.value().starts_with("new");
        daemon.sentToTarget += toTarget ? 1 : 0;
        (toTarget ? daemon.lastToTarget : daemon.lastToOld) = now;
    }

    std::optional<RolloutState> state() const
    {
        const auto found = m_topic.statuses.find(Service);
        return found == m_topic.statuses.end() ? std::nullopt : std::optional(found->second.state);
    }
    template <typename Of>
    std::size_t sum(Of of) const
    {
        std::size_t result = 0;
        for (const auto *daemons : {&m_daemons, &m_retired}) {
            for (const auto &daemon : *daemons) {
                result += of(*daemon);
            }
        }
        return result;
    }
    std::size_t sent() const
    {
        return sum([](const Daemon &daemon) { return daemon.sent; });
    }
    std::size_t sentToTarget() const
    {
        return sum([](const Daemon &daemon) { return daemon.sentToTarget; });
    }
    framework::TimePoint lastToTarget() const
    {
        framework::TimePoint last;
        for (const auto &daemon : m_daemons) {
            last = std::max(last, daemon->lastToTarget);
        }
        return last;
    }

    framework::FakeClock m_clock;
    framework::FakeScheduler m_scheduler;
    framework::RecordingLogger m_logger;
    std::unique_ptr<framework::IMetrics> m_metrics;
    membership::FakeBackendServers m_servers;
    RolloutBounds m_bounds;
    StatusTopic m_topic;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<std::unique_ptr<Daemon>> m_retired;
    std::optional<RolloutOrder> m_order;
    std::uint64_t m_starts = 0;
    std::size_t m_turn = 0;
    std::size_t m_refused = 0;
    bool m_isNewBad = false;
    std::size_t m_newAnswers = 0;
    std::size_t m_badAnswers = 0;
};

} // namespace lavendertally::rollout
