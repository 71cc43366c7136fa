#pragma once

#include "control/icontrolserver.h"
#include "control/internal/nngmessage.h"
#include "control/internal/nngsocket.h"
#include "control/types/controllimits.h"

#include <memory>
#include <string_view>

namespace lavendertally::framework {
class IEventLoop;
class IMetrics;
} // namespace lavendertally::framework

namespace lavendertally::protocol {
class IMessageCodec;
}

namespace lavendertally::control {

/// Control server on nng's reply protocol in raw mode: each connection has its own queue of
/// replies, so that a peer that does not read blocks no other. nng's threads do the I/O; everything
/// here runs on the loop's thread.
class NngControlServer final : public IControlServer
{
public:
    NngControlServer(framework::IEventLoop &loop, const protocol::IMessageCodec &codec,
                     framework::IMetrics &metrics, const ControlLimits &limits);

    void setHandler(Handler handler) override;
    framework::Result<framework::Endpoint> listen(const framework::Endpoint &endpoint) override;

private:
    void receive();
    void answer(const NngMessage &message);
    bool sendReply(const NngMessage &query, std::string_view body);
    void countDropped(const char *reason);

    framework::IEventLoop &m_loop;
    const protocol::IMessageCodec &m_codec;
    framework::IMetrics &m_metrics;
    ControlLimits m_limits;
    Handler m_handler;
    std::unique_ptr<NngSocket> m_socket;
};

} // namespace lavendertally::control
