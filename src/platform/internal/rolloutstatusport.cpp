#include "platform/internal/rolloutstatusport.h"

#include "framework/asyncerror.h"
#include "framework/ilogger.h"
#include "framework/types/errorcontext.h"
#include "http/ihttpcall.h"
#include "platform/internal/rolloutcodec.h"
#include "platform/internal/wirenames.h"
#include "platform/types/decodeerror.h"
#include "platform/types/storeerror.h"

#include <utility>

namespace lavendertally::platform {

RolloutStatusPort::RolloutStatusPort(StoreClient &store, framework::ILogger &logger)
    : m_store(store), m_logger(logger)
{ }

RolloutStatusPort::~RolloutStatusPort() = default;

void RolloutStatusPort::read(std::function<void(std::optional<Content>)> callback)
{
    readPage({}, {}, std::move(callback));
}

void RolloutStatusPort::readPage(const std::string &after, Content content,
                                 std::function<void(std::optional<Content>)> callback)
{
    m_call =
        m_store.readNewest(wire::StatusTopic, after,
                           [this, content = std::move(content), callback = std::move(callback)](
                               framework::Result<StorePage> page) mutable {
                               onPage(std::move(page), std::move(content), std::move(callback));
                           });
}

void RolloutStatusPort::onPage(framework::Result<StorePage> page, Content content,
                               std::function<void(std::optional<Content>)> callback)
{
    if (!page) {
        callback(std::nullopt);
        return;
    }
    for (const protocol::TopicRecord &record : page->records) {
        addStatus(record, content);
    }
    content.end = page->end;
    if (page->hasMore && !page->records.empty()) {
        const std::string last = page->records.back().key;
        readPage(last, std::move(content), std::move(callback));
        return;
    }
    callback(std::move(content));
}

void RolloutStatusPort::addStatus(const protocol::TopicRecord &record, Content &content)
{
    if (!record.key.starts_with(wire::RolloutStatusKeyPrefix) || !record.value) {
        return;
    }
    const framework::ServiceId service(record.key.substr(wire::RolloutStatusKeyPrefix.size()));
    framework::leaf::try_handle_all(
        [&]() -> framework::Result<void> {
            BOOST_LEAF_AUTO(status, decodeRolloutStatus(service, *record.value));
            content.statuses.push_back(std::move(status));
            return {};
        },
        [&](DecodeError /*error*/, const framework::ErrorContext &context) {
            m_logger.warning("status of a rollout cannot be read; it counts as none",
                             {{"service", service.value()}, {"problem", context.message}});
        },
        [&] {
            m_logger.warning("status of a rollout cannot be read; it counts as none",
                             {{"service", service.value()}});
        });
}

void RolloutStatusPort::write(const rollout::RolloutStatus &status, framework::LogOffset at,
                              std::function<void(rollout::StatusWriteOutcome)> callback)
{
    const protocol::TopicRecord record{{},
                                       std::string(wire::RolloutStatusKeyPrefix)
                                           + status.service.value(),
                                       encodeRolloutStatus(status)};
    m_call = m_store.appendAt(
        wire::StatusTopic, record, at,
        [callback = std::move(callback)](framework::Result<void> result) mutable {
            // The callback may begin another call, which ends this one.
            const auto done = std::move(callback);
            if (result) {
                done(rollout::StatusWriteOutcome::Written);
                return;
            }
            const StoreError error = framework::errorOf(std::move(result), StoreError::Unknown);
            done(error == StoreError::Outdated ? rollout::StatusWriteOutcome::Outdated
                                               : rollout::StatusWriteOutcome::Failed);
        });
}

} // namespace lavendertally::platform
