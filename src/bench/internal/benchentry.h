#pragma once

#include "bench/internal/arrivals.h"
#include "bench/internal/decisions.h"
#include "bench/internal/fakebackend.h"
#include "bench/internal/outcome.h"
#include "bench/internal/site.h"
#include "bench/internal/timeline.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace lavendertally::bench {

/// Entry that takes requests through their stages by the decisions under test.
class BenchEntry
{
public:
    using Backends = std::map<framework::HostId, std::unique_ptr<FakeBackend>>;

    /// \param outcomes gets the outcome of each request when it ends
    BenchEntry(Timeline &timeline, const Site &site, framework::DaemonId id,
               framework::AvailabilityZoneId zone, Backends &backends, Decisions decisions,
               std::vector<Outcome> &outcomes);
    ~BenchEntry();

    void serve(std::size_t index, const Arrival &arrival);

    std::uint64_t freshCalls() const { return m_freshCalls; }
    std::uint64_t retries() const { return m_retries; }

private:
    struct Request;
    using RequestPointer = std::shared_ptr<Request>;

    void startStage(const RequestPointer &request);
    void attempt(const RequestPointer &request);
    void send(const RequestPointer &request, FakeBackend &backend, framework::Milliseconds budget);
    void handleReply(const RequestPointer &request, FakeBackend &backend, framework::AttemptId id,
                     const BackendReply &reply);
    void stageDone(const RequestPointer &request);
    void attemptFailed(const RequestPointer &request, retry::FailureKind failure);
    void deadlinePassed(const RequestPointer &request);
    void finish(const RequestPointer &request, Ending ending);
    void probe();

    const configuration::Stage &stage(const Request &request) const;
    framework::Milliseconds remaining(const Request &request) const;
    framework::Milliseconds delayTo(const FakeBackend &backend) const;

    Timeline &m_timeline;
    const Site &m_site;
    framework::DaemonId m_id;
    framework::AvailabilityZoneId m_zone;
    Backends &m_backends;
    Decisions m_decisions;
    std::vector<Outcome> &m_outcomes;
    framework::AttemptId m_lastAttempt;
    std::uint64_t m_freshCalls = 0;
    std::uint64_t m_retries = 0;
};

} // namespace lavendertally::bench
