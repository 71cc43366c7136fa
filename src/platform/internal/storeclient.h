#pragma once

#include "framework/result.h"
#include "framework/types/endpoint.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "platform/internal/storechanges.h"
#include "platform/internal/storepage.h"
#include "replication/storeavailability.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace lavendertally::framework {
class IClock;
class ILogger;
class IMetrics;
} // namespace lavendertally::framework

namespace lavendertally::http {
class IHttpCall;
class IHttpClient;
struct HttpResponse;
} // namespace lavendertally::http

namespace lavendertally::platform {

/// Calls to the platform's store. Destroying a returned handle cancels the call silently.
class StoreClient
{
public:
    using Call = std::unique_ptr<http::IHttpCall>;

    StoreClient(http::IHttpClient &client, framework::Endpoint store,
                const framework::IClock &clock, framework::ILogger &logger,
                framework::IMetrics &metrics);

    /// Reads the newest record of each key of a topic.
    /// \param after key after which to go on; empty for the first page
    /// \param callback gets the page, or StoreError
    Call readNewest(std::string_view topic, const std::string &after,
                    std::function<void(framework::Result<StorePage>)> callback);

    /// Reads the records of a topic from an offset on.
    /// \param wait how long the store may hold the call back while there are none
    /// \param callback gets the records, or StoreError
    Call readChanges(std::string_view topic, framework::LogOffset from,
                     framework::Milliseconds wait,
                     std::function<void(framework::Result<StoreChanges>)> callback);

    /// Writes one record of a keyed topic.
    /// \param callback gets nothing, or StoreError
    Call append(std::string_view topic, const protocol::TopicRecord &record,
                std::function<void(framework::Result<void>)> callback);

    /// Writes one record of a keyed topic unless anything was written to the topic since.
    /// \param at end of the topic when it was read
    /// \param callback gets nothing, or StoreError
    Call appendAt(std::string_view topic, const protocol::TopicRecord &record,
                  framework::LogOffset at, std::function<void(framework::Result<void>)> callback);

    /// \return what the calls of this daemon, and those of its peers as far as they are noted
    /// there, tell of the store
    replication::StoreAvailability &availability() { return m_availability; }

private:
    Call sendAppend(std::string target, const protocol::TopicRecord &record,
                    std::function<void(framework::Result<void>)> callback);
    /// \param asked when the call was made
    /// \param wait how long the store may have held the call back
    /// \return era that the answer names, or the greatest one before if it names none
    framework::StoreEra note(const char *call, const http::HttpResponse &response,
                             framework::TimePoint asked, framework::Milliseconds wait);

    http::IHttpClient &m_client;
    framework::Endpoint m_store;
    const framework::IClock &m_clock;
    framework::ILogger &m_logger;
    replication::StoreAvailability m_availability;
    /// Greatest era that an answer has named.
    framework::StoreEra m_era;
    framework::IMetrics &m_metrics;
};

} // namespace lavendertally::platform
