#pragma once

#include "framework/types/endpoint.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "localfleet/types/loadanswer.h"
#include "localfleet/types/workload.h"

#include <functional>
#include <memory>
#include <vector>

namespace lavendertally::framework {
class IClock;
class IEventLoop;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::http {
class IHttpCall;
class IHttpClient;
} // namespace lavendertally::http

namespace lavendertally::localfleet {

/// Sends requests to entries at a fixed rate, taking workloads and entries in turn, and collects
/// the answers.
class LoadRunner
{
public:
    /// \param runName makes the request ids of this run differ from those of others
    LoadRunner(framework::IEventLoop &loop, http::IHttpClient &client,
               const framework::IClock &clock, std::string runName,
               std::vector<framework::Endpoint> entries, std::vector<Workload> workloads);
    ~LoadRunner();
    LoadRunner(const LoadRunner &) = delete;
    LoadRunner &operator=(const LoadRunner &) = delete;

    /// Sends \p count requests, one every \p interval.
    /// \param finished called once after the last answer
    void start(std::size_t count, framework::Milliseconds interval, std::function<void()> finished);

    /// Sends again what an earlier request of this run sent, under the same request id.
    /// \param entry index into the entries
    void repeat(const LoadAnswer &answer, std::size_t entry,
                std::function<void(LoadAnswer)> callback);

    const std::vector<LoadAnswer> &answers() const { return m_answers; }

private:
    void sendNext();
    void send(LoadAnswer request, std::size_t entry, std::function<void(LoadAnswer)> callback);
    std::string body(const LoadAnswer &request) const;

    framework::IEventLoop &m_loop;
    http::IHttpClient &m_client;
    const framework::IClock &m_clock;
    std::string m_runName;
    framework::TimePoint m_issuedAt;
    std::vector<framework::Endpoint> m_entries;
    std::vector<Workload> m_workloads;
    std::size_t m_count = 0;
    std::size_t m_sent = 0;
    framework::Milliseconds m_interval;
    std::function<void()> m_finished;
    std::vector<LoadAnswer> m_answers;
    std::vector<std::unique_ptr<http::IHttpCall>> m_calls;
    std::unique_ptr<framework::ITimer> m_timer;
};

} // namespace lavendertally::localfleet
