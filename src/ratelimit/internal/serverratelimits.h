#pragma once

#include "ratelimit/iratelimitstore.h"
#include "ratelimit/iserverratelimits.h"
#include "ratelimit/types/ratelimitlimits.h"

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace lavendertally::framework {
class ILogger;
class IMetrics;
} // namespace lavendertally::framework

namespace lavendertally::ratelimit {

/// Rate limits that backend servers have named, and this daemon's permits.
class ServerRateLimits final : public IServerRateLimits, public IRateLimitStore
{
public:
    ServerRateLimits(framework::ILogger &logger, framework::IMetrics &metrics,
                     const RateLimitLimits &limits);

    void observeAnswer(const framework::BackendServerId &server,
                       std::optional<framework::RequestRate> named, framework::TimePoint callSent,
                       framework::TimePoint now) override;
    bool mayCall(const framework::BackendServerId &server, framework::TimePoint now) override;
    void callSent(const framework::BackendServerId &server, framework::TimePoint now) override;
    std::optional<framework::RequestRate>
    rateOf(const framework::BackendServerId &server) const override;
    IRateLimitStore &store() override { return *this; }

    Limits limits(framework::TimePoint now) const override;
    std::optional<protocol::ServerRateLimit> limit(const framework::BackendServerId &server,
                                                   framework::TimePoint now) const override;
    void merge(const Limits &limits, framework::TimePoint now) override;
    Permits takeWanted(framework::TimePoint now) override;
    void addPermits(const Permits &permits, framework::TimePoint asked) override;
    bool expire(framework::TimePoint now) override;
    void setListeners(std::function<void(const protocol::ServerRateLimit &)> onChange,
                      std::function<void()> onWanted) override;

private:
    struct Entry
    {
        /// Nothing once the limit has ended; kept so that older news do not bring it back.
        std::optional<framework::RequestRate> rate;
        /// When the answer came that said so.
        framework::TimePoint told;
        std::uint32_t wanted = 0;
        /// When the permits expire, in order.
        std::deque<framework::TimePoint> permits;
    };
    using Entries = std::unordered_map<framework::BackendServerId, Entry>;

    bool isExpired(const Entry &entry, framework::TimePoint now) const;
    /// Sets what a backend server has said, and tells the listener of a change.
    void set(const framework::BackendServerId &server, std::optional<framework::RequestRate> rate,
             framework::TimePoint told, framework::TimePoint now);
    void makeRoom();

    framework::ILogger &m_logger;
    framework::IMetrics &m_metrics;
    RateLimitLimits m_limits;
    Entries m_entries;
    std::function<void(const protocol::ServerRateLimit &)> m_onChange;
    std::function<void()> m_onWanted;
};

} // namespace lavendertally::ratelimit
