#pragma once

#include "standins/coldstartmodel.h"
#include "standins/loadreporter.h"
#include "standins/prefixcache.h"
#include "standins/standinserver.h"
#include "standins/types/appliedorder.h"
#include "standins/types/engineoptions.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lavendertally::framework {
class ITimer;
}

namespace lavendertally::standins {

/// Model engine that batches continuously. Its text repeats the words of the prompt, so that a
/// test sees whether an answer belongs to its call.
class ModelEngineStandIn final : public StandInServer
{
public:
    ModelEngineStandIn(framework::IEventLoop &loop, const EngineOptions &options);
    ~ModelEngineStandIn() override;

    /// Restarts the engine: next incarnation, cold, empty cache, calls under way lost.
    void restart();

    const ColdStartModel &coldStart() const { return m_coldStart; }
    const std::vector<AppliedOrder> &appliedOrders() const { return m_orders; }
    /// \return calls that their callers have cancelled
    std::uint64_t cancelledCalls() const { return m_cancelled; }

private:
    struct Sequence
    {
        ExchangePtr exchange;
        bool streams = false;
        std::vector<std::string> words;
        std::string prefix;
        std::uint64_t maxTokens = 0;
        std::uint64_t made = 0;
        framework::TimePoint prefilledAt;
        /// Text of an answer that is not streamed.
        std::string text;
    };

    /// Order of waiting sequences: priority, then arrival.
    using WaitingKey = std::pair<std::uint64_t, std::uint64_t>;

    void handle(const ExchangePtr &exchange, FaultMode mode) override;
    void handleAdmin(const ExchangePtr &exchange) override;
    bool actsTwice(const http::IHttpExchange &exchange) const override;
    void onFaultSet(const Fault &fault) override;

    void complete(const ExchangePtr &exchange);
    bool isDeadly(const nlohmann::json &call) const;
    bool refuses(const ExchangePtr &exchange);
    Sequence makeSequence(const ExchangePtr &exchange, const nlohmann::json &call) const;
    void fillBatch();
    void scheduleStep();
    void step();
    void makeToken(Sequence &sequence);
    void finish(Sequence &sequence);
    void cancel(const WaitingKey &key);
    void loseCalls();
    framework::Milliseconds stepTime() const;
    framework::Milliseconds prefillTime(bool cached) const;
    void replyState(const ExchangePtr &exchange, FaultMode mode);
    void takeOrder(const ExchangePtr &exchange);
    void applyOrder(const AppliedOrder &order);
    void replyOrders(const ExchangePtr &exchange) const;

    EngineOptions m_options;
    ColdStartModel m_coldStart;
    LoadReporter m_load;
    PrefixCache m_cache;
    std::string m_model;
    std::string m_role;
    std::string m_version;
    std::vector<std::string> m_adapters;
    framework::FencingNumber m_highestFencing;
    std::vector<AppliedOrder> m_orders;
    std::uint64_t m_nextArrival = 0;
    std::uint64_t m_cancelled = 0;
    std::map<WaitingKey, Sequence> m_waiting;
    std::map<WaitingKey, Sequence> m_batch;
    std::unique_ptr<framework::ITimer> m_step;
};

} // namespace lavendertally::standins
