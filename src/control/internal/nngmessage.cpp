#include "control/internal/nngmessage.h"

namespace lavendertally::control {

NngMessage makeNngMessage(std::string_view body)
{
    nng_msg *raw = nullptr;
    if (nng_msg_alloc(&raw, 0) != 0) {
        return nullptr;
    }
    NngMessage message(raw);
    if (nng_msg_append(raw, body.data(), body.size()) != 0) {
        return nullptr;
    }
    return message;
}

std::string_view bodyOf(const NngMessage &message)
{
    return {static_cast<const char *>(nng_msg_body(message.get())), nng_msg_len(message.get())};
}

NngMessage receiveNow(nng_socket socket)
{
    nng_msg *raw = nullptr;
    if (nng_recvmsg(socket, &raw, NNG_FLAG_NONBLOCK) != 0) {
        return nullptr;
    }
    return NngMessage(raw);
}

bool sendNow(nng_socket socket, NngMessage message)
{
    if (message == nullptr) {
        return false;
    }
    const bool sent = nng_sendmsg(socket, message.get(), NNG_FLAG_NONBLOCK) == 0;
    if (sent) {
        // nng owns the message from here on.
        static_cast<void>(message.release());
    }
    return sent;
}

} // namespace lavendertally::control
