#pragma once

#include "framework/types/timepoint.h"
#include "infrastructure/internal/serviceconnection.h"
#include "infrastructure/iweightstore.h"

#include <cstdint>
#include <map>
#include <memory>

namespace lavendertally::framework {
class IClock;
class IScheduler;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::infrastructure {

/// Client of the weight store over HTTP.
class HttpWeightStore final : public IWeightStore
{
public:
    HttpWeightStore(http::IHttpClient &client, framework::IScheduler &scheduler,
                    const framework::IClock &clock, const framework::Endpoint &endpoint);
    ~HttpWeightStore() override;

    void fetch(const framework::ModelId &model, framework::Milliseconds timeout,
               std::function<void(framework::Result<std::string>)> callback) override;

private:
    struct Download
    {
        std::string target;
        framework::TimePoint deadline;
        std::function<void(framework::Result<std::string>)> callback;
        std::unique_ptr<framework::ITimer> retry;
    };

    void attempt(std::uint64_t id);
    void finishAttempt(std::uint64_t id, http::HttpResponse response);
    bool retryLater(std::uint64_t id, const http::HttpResponse &response);

    framework::IScheduler &m_scheduler;
    const framework::IClock &m_clock;
    std::uint64_t m_nextId = 0;
    std::map<std::uint64_t, Download> m_downloads;
    ServiceConnection m_connection;
};

} // namespace lavendertally::infrastructure
