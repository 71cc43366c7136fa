#pragma once

#include <string_view>

namespace lavendertally::proxy {

struct AnswerHead;
struct Refusal;

/// The client's side of a request. Ends with answer(), endStream(), breakOff() or refuse().
class IClientReply
{
public:
    virtual ~IClientReply() = default;

    /// Passes a whole answer on.
    virtual void answer(const AnswerHead &head, std::string_view body) = 0;

    virtual void startStream(const AnswerHead &head) = 0;
    /// \param text one whole event
    virtual void sendEvent(std::string_view text) = 0;
    virtual void endStream() = 0;

    /// Ends the connection so that the client sees an incomplete answer.
    virtual void breakOff() = 0;

    virtual void refuse(const Refusal &refusal) = 0;
};

} // namespace lavendertally::proxy
