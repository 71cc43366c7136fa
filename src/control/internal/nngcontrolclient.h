#pragma once

#include "control/icontrolclient.h"
#include "control/types/controllimits.h"

#include <cstdint>
#include <map>
#include <memory>

namespace lavendertally::framework {
class IClock;
class IEventLoop;
class IMetrics;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::protocol {
class IMessageCodec;
}

namespace lavendertally::control {

enum class ControlError;

class NngPeer;

/// Control client on nng. Opens connections on first use, closes idle ones and limits their number.
class NngControlClient final : public IControlClient
{
public:
    NngControlClient(framework::IEventLoop &loop, const framework::IClock &clock,
                     const protocol::IMessageCodec &codec, framework::IMetrics &metrics,
                     const ControlLimits &limits);
    ~NngControlClient() override;
    NngControlClient(const NngControlClient &) = delete;
    NngControlClient &operator=(const NngControlClient &) = delete;

    void sendQuery(const framework::Endpoint &peer, const protocol::Message &query,
                   framework::Milliseconds timeout, Callback callback) override;

private:
    NngPeer *peerFor(const framework::Endpoint &endpoint);
    bool evictIdlePeer();
    void receive(const framework::Endpoint &endpoint);
    void expire(const framework::Endpoint &endpoint, std::uint32_t queryId);
    void failAsync(Callback callback, ControlError error);
    void closeIdle();
    void updateGauge();

    framework::IEventLoop &m_loop;
    const framework::IClock &m_clock;
    const protocol::IMessageCodec &m_codec;
    framework::IMetrics &m_metrics;
    ControlLimits m_limits;
    std::uint32_t m_nextQueryId = 1;
    std::uint64_t m_nextDeferredFailure = 0;
    std::map<framework::Endpoint, std::unique_ptr<NngPeer>> m_peers;
    /// Timers that report a failure in the next iteration of the loop.
    std::map<std::uint64_t, std::unique_ptr<framework::ITimer>> m_deferredFailures;
    std::unique_ptr<framework::ITimer> m_idleTimer;
};

} // namespace lavendertally::control
