#pragma once

#include "http/types/httpresponsehead.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace lavendertally::http {

/// Reads one HTTP/1.1 response with Boost.Beast's parser, and refuses what that parser lets through
/// although it is no valid response. Interim (1xx) responses are passed over.
class ResponseParser
{
public:
    enum class State
    {
        NeedMore,
        Complete,
        Malformed,
    };

    /// \param bodiless whether a response to this request never has a body, as for HEAD
    explicit ResponseParser(bool bodiless);
    ~ResponseParser();

    /// \param input everything received and not yet taken
    /// \param taken set to the number of bytes that were used
    State feed(std::string_view input, std::size_t &taken);

    /// Tells that the server has closed the connection in order.
    State feedEnd();

    /// \return whether the head of the response is here and is valid
    bool hasHead() const;
    const HttpResponseHead &head() const;
    /// \return the body received since the last call
    std::string takeBody();
    /// \return whether the connection may serve another request
    bool keepAlive() const;

private:
    class Message;

    void start();
    /// Checks the head for what Boost.Beast's parser lets through, and accepts it once it is
    /// complete. \param taken what the parser has just taken of the head \return false if the head
    /// is not valid
    bool checkHead(std::string_view taken);

    bool m_bodiless;
    std::unique_ptr<Message> m_message;
    bool m_isHeadAccepted = false;
};

} // namespace lavendertally::http
