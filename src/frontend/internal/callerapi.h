#pragma once

#include "frontend/ihttpapi.h"

#include <memory>
#include <unordered_set>

namespace lavendertally::framework {
class IMetrics;
}

namespace lavendertally::pipeline {
class IRequestService;
struct CallerRequest;
} // namespace lavendertally::pipeline

namespace lavendertally::frontend {

class CallerExchange;

/// Accepts JSON requests of callers over HTTP.
class CallerApi final : public IHttpApi
{
public:
    CallerApi(pipeline::IRequestService &requests, framework::IMetrics &metrics);
    ~CallerApi() override;

    bool handle(const std::shared_ptr<http::IHttpExchange> &exchange) override;

private:
    void start(const std::shared_ptr<http::IHttpExchange> &exchange,
               const pipeline::CallerRequest &request);
    void refuse(const std::shared_ptr<http::IHttpExchange> &exchange, const std::string &message);

    pipeline::IRequestService &m_requests;
    framework::IMetrics &m_metrics;
    std::unordered_set<std::shared_ptr<CallerExchange>> m_exchanges;
};

} // namespace lavendertally::frontend
