#include "control/internal/nngpeer.h"

#include "control/internal/nngurl.h"
#include "framework/itimer.h"

#include <nng/protocol/reqrep0/req.h>

#include <utility>

namespace lavendertally::control {

namespace {

/// Marks the last word of the request header in nng's request protocol.
constexpr std::uint32_t RequestHeaderEnd = 0x80000000U;
/// Queries queued in nng until the connection is established.
constexpr int SendBuffer = 4;
constexpr nng_duration MinReconnectMs = 100;
constexpr nng_duration MaxReconnectMs = 1000;

} // namespace

NngPeer::NngPeer(const framework::Endpoint &endpoint, event_base *base, const ControlLimits &limits,
                 std::function<void()> receive)
    : m_socket(&nng_req0_open_raw)
{
    const nng_socket socket = m_socket.handle();
    nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, limits.maxAnswer.value());
    nng_socket_set_int(socket, NNG_OPT_SENDBUF, SendBuffer);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, MinReconnectMs);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, MaxReconnectMs);
    nng_dial(socket, nngUrl(endpoint).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    m_socket.onReadable(base, std::move(receive));
}

NngPeer::~NngPeer() = default;

bool NngPeer::send(std::uint32_t queryId, std::string_view body)
{
    NngMessage message = makeNngMessage(body);
    if (message == nullptr) {
        return false;
    }
    nng_msg_header_append_u32(message.get(), queryId | RequestHeaderEnd);
    return sendNow(m_socket.handle(), std::move(message));
}

NngMessage NngPeer::receive()
{
    return receiveNow(m_socket.handle());
}

std::uint32_t NngPeer::extractQueryId(const NngMessage &answer)
{
    std::uint32_t queryId = 0;
    nng_msg_header_trim_u32(answer.get(), &queryId);
    return queryId & ~RequestHeaderEnd;
}

void NngPeer::add(std::uint32_t queryId, Pending pending)
{
    m_pending.insert_or_assign(queryId, std::move(pending));
}

std::optional<NngPeer::Pending> NngPeer::take(std::uint32_t queryId)
{
    auto node = m_pending.extract(queryId);
    if (node.empty()) {
        return std::nullopt;
    }
    return std::move(node.mapped());
}

} // namespace lavendertally::control
