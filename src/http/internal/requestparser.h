#pragma once

#include "http/types/httplimits.h"
#include "http/types/httprequesthead.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace lavendertally::http {

/// Reads one HTTP/1.1 request with Boost.Beast's parser, which accepts no bare line feeds, no space
/// before a colon and no conflicting lengths. Whatever would let two readers disagree about the end
/// of a request is refused.
class RequestParser
{
public:
    enum class State
    {
        NeedMore,
        Complete,
        Refused,
    };

    explicit RequestParser(const HttpLimits &limits);
    ~RequestParser();

    /// \param input everything received and not yet taken
    /// \param taken set to the number of bytes that were used
    State feed(std::string_view input, std::size_t &taken);

    /// \return whether any byte of a request has been read
    bool hasStarted() const { return m_started; }
    /// \return whether the header fields are complete
    bool hasHead() const { return m_headChecked; }
    /// \return whether the header fields are complete and the client waits for leave to send the
    /// body; true once
    bool takeExpectsContinue();
    /// \return whether the client wants the connection to stay open
    bool keepAlive() const;
    /// \return whether the client understands chunks
    bool understandsChunks() const;
    /// \return status code that tells why the request was refused
    int refusalStatus() const { return m_refusalStatus; }
    /// \return memory that the body takes, as far as it has arrived
    std::size_t bodyMemory() const;
    HttpRequestHead takeHead();
    std::string takeBody();

private:
    class Message;

    State checkHead();
    State refuse(int status);

    std::unique_ptr<Message> m_message;
    bool m_started = false;
    bool m_headChecked = false;
    bool m_expectsContinue = false;
    int m_refusalStatus = 0;
};

} // namespace lavendertally::http
