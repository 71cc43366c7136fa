#pragma once

#include "standins/servicestandin.h"
#include "standins/types/poolkind.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace lavendertally::standins {

/// Encoder, retriever or reranker. Its answer depends on the call alone, so that a test sees
/// whether an answer belongs to its call.
class PoolStandIn final : public ServiceStandIn
{
public:
    PoolStandIn(framework::IEventLoop &loop, PoolKind kind, const ServiceOptions &options);

private:
    void serve(const ExchangePtr &exchange, FaultMode mode) override;
    bool knows(const std::string &path) const override;
    bool actsTwice(const http::IHttpExchange &exchange) const override;

    static nlohmann::json encode(const nlohmann::json &call);
    static nlohmann::json retrieve(const nlohmann::json &call);
    static nlohmann::json rerank(const nlohmann::json &call);

    PoolKind m_kind;
};

} // namespace lavendertally::standins
