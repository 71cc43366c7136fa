#pragma once

#include "control/ioperatorservice.h"

#include <cstdint>
#include <map>
#include <memory>

namespace lavendertally::configuration {
class IConfigurationReplica;
class IControlRecordCodec;
} // namespace lavendertally::configuration

namespace lavendertally::framework {
class IScheduler;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::infrastructure {
class ILogService;
}

namespace lavendertally::control {

enum class OperatorError;

/// Appends changes to the control stream and waits until the replica has their outcome.
class OperatorService final : public IOperatorService
{
public:
    OperatorService(infrastructure::ILogService &log, configuration::IConfigurationReplica &replica,
                    const configuration::IControlRecordCodec &codec,
                    framework::IScheduler &scheduler);
    ~OperatorService() override;
    OperatorService(const OperatorService &) = delete;
    OperatorService &operator=(const OperatorService &) = delete;

    void submit(
        const configuration::OperatorChange &change, framework::Milliseconds timeout,
        std::function<void(framework::Result<configuration::OperationOutcome>)> callback) override;

private:
    using Callback = std::function<void(framework::Result<configuration::OperationOutcome>)>;

    struct Pending
    {
        framework::OperationId operation;
        Callback callback;
        std::unique_ptr<framework::ITimer> timer;
    };

    void append(std::uint64_t key, const std::string &data, framework::Milliseconds timeout);
    void handleAppend(std::uint64_t key, framework::Result<framework::LogOffset> result);
    void completeDecided();
    void fail(std::uint64_t key, OperatorError error);
    void scheduleFailure(std::uint64_t key, framework::Milliseconds delay, OperatorError error);

    infrastructure::ILogService &m_log;
    configuration::IConfigurationReplica &m_replica;
    const configuration::IControlRecordCodec &m_codec;
    framework::IScheduler &m_scheduler;
    std::uint64_t m_nextKey = 0;
    std::map<std::uint64_t, Pending> m_pending;
    std::unique_ptr<framework::ITimer> m_decidedTimer;
    std::shared_ptr<const bool> m_alive = std::make_shared<bool>(true);
};

} // namespace lavendertally::control
