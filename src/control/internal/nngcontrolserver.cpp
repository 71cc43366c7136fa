#include "control/internal/nngcontrolserver.h"

#include "control/internal/nngurl.h"
#include "control/types/controlerror.h"
#include "framework/ieventloop.h"
#include "framework/imetrics.h"
#include "framework/types/errorcontext.h"
#include "protocol/imessagecodec.h"

#include <nng/protocol/reqrep0/rep.h>

#include <optional>
#include <utility>

namespace lavendertally::control {

namespace {

/// Maximum messages received in one iteration of the loop, so that other events are not starved.
constexpr int MaxMessagesPerIteration = 32;
/// nng closes the connection of a peer that sends more than this many times maxQuery. Oversized
/// queries below that are received, so that they can be counted.
constexpr std::size_t OversizeMargin = 4;
/// Answers queued in nng until its threads send them.
constexpr int SendBuffer = 64;

framework::leaf::error_id listenFailed(const framework::Endpoint &endpoint)
{
    return framework::leaf::new_error(
        ControlError::ListenFailed,
        framework::ErrorContext{"cannot listen on " + endpoint.toString()});
}

} // namespace

NngControlServer::NngControlServer(framework::IEventLoop &loop,
                                   const protocol::IMessageCodec &codec,
                                   framework::IMetrics &metrics, const ControlLimits &limits)
    : m_loop(loop), m_codec(codec), m_metrics(metrics), m_limits(limits)
{ }

void NngControlServer::setHandler(Handler handler)
{
    m_handler = std::move(handler);
}

framework::Result<framework::Endpoint> NngControlServer::listen(const framework::Endpoint &endpoint)
{
    m_socket = std::make_unique<NngSocket>(&nng_rep0_open_raw);
    const std::size_t maxSize = m_limits.maxQuery.value() * OversizeMargin;
    nng_socket_set_size(m_socket->handle(), NNG_OPT_RECVMAXSZ, maxSize);
    nng_socket_set_int(m_socket->handle(), NNG_OPT_SENDBUF, SendBuffer);
    nng_listener listener = NNG_LISTENER_INITIALIZER;
    if (nng_listen(m_socket->handle(), nngUrl(endpoint).c_str(), &listener, 0) != 0) {
        m_socket.reset();
        return listenFailed(endpoint);
    }
    int port = 0;
    nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
    m_socket->onReadable(m_loop.base(), [this] { receive(); });
    return framework::Endpoint{endpoint.address, static_cast<std::uint16_t>(port)};
}

void NngControlServer::receive()
{
    for (int count = 0; count < MaxMessagesPerIteration; ++count) {
        const NngMessage message = receiveNow(m_socket->handle());
        if (message == nullptr) {
            return;
        }
        answer(message);
    }
}

void NngControlServer::answer(const NngMessage &message)
{
    const std::string_view bytes = bodyOf(message);
    if (std::cmp_greater(bytes.size(), m_limits.maxQuery.value())) {
        countDropped("oversized");
        return;
    }
    const framework::Result<protocol::Message> query = m_codec.decode(bytes);
    if (!query) {
        countDropped("malformed");
        return;
    }
    m_metrics.increment("lavendertally_control_queries_total", {});
    const std::optional<protocol::Message> reply = m_handler(query.value());
    if (!reply) {
        countDropped("unanswered");
        return;
    }
    if (!sendReply(message, m_codec.encode(*reply))) {
        countDropped("unsent");
    }
}

bool NngControlServer::sendReply(const NngMessage &query, std::string_view body)
{
    NngMessage reply = makeNngMessage(body);
    if (reply == nullptr) {
        return false;
    }
    // The header identifies the connection and the query; nng routes the reply by it.
    nng_msg_header_append(reply.get(), nng_msg_header(query.get()),
                          nng_msg_header_len(query.get()));
    return sendNow(m_socket->handle(), std::move(reply));
}

void NngControlServer::countDropped(const char *reason)
{
    m_metrics.increment("lavendertally_control_dropped_total", {{"reason", reason}});
}

} // namespace lavendertally::control
