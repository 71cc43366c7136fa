#pragma once

#include <nng/nng.h>

#include <cstdint>
#include <memory>
#include <string_view>

namespace lavendertally::control {

struct NngMessageDeleter
{
    void operator()(nng_msg *message) const { nng_msg_free(message); }
};

/// Owned nng message.
using NngMessage = std::unique_ptr<nng_msg, NngMessageDeleter>;

/// \return a message with \p body, or null when allocation fails
NngMessage makeNngMessage(std::string_view body);

/// \return the message's body; valid as long as the message
std::string_view bodyOf(const NngMessage &message);

/// \return the next waiting message, or null when there is none
NngMessage receiveNow(nng_socket socket);

/// Sends without waiting.
/// \return whether nng accepted the message
bool sendNow(nng_socket socket, NngMessage message);

} // namespace lavendertally::control
