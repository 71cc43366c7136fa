#pragma once

#include "framework/result.h"
#include "platform/internal/storeclient.h"
#include "rollout/irolloutstatusstore.h"

#include <functional>
#include <optional>
#include <string>

namespace lavendertally::framework {
class ILogger;
}

namespace lavendertally::platform {

/// Reads and writes the statuses of rollouts in the store.
class RolloutStatusPort final : public rollout::IRolloutStatusStore
{
public:
    RolloutStatusPort(StoreClient &store, framework::ILogger &logger);
    ~RolloutStatusPort() override;
    RolloutStatusPort(const RolloutStatusPort &) = delete;
    RolloutStatusPort &operator=(const RolloutStatusPort &) = delete;

    void read(std::function<void(std::optional<Content>)> callback) override;
    void write(const rollout::RolloutStatus &status, framework::LogOffset at,
               std::function<void(rollout::StatusWriteOutcome)> callback) override;

private:
    void readPage(const std::string &after, Content content,
                  std::function<void(std::optional<Content>)> callback);
    void onPage(framework::Result<StorePage> page, Content content,
                std::function<void(std::optional<Content>)> callback);
    void addStatus(const protocol::TopicRecord &record, Content &content);

    StoreClient &m_store;
    framework::ILogger &m_logger;
    StoreClient::Call m_call;
};

} // namespace lavendertally::platform
