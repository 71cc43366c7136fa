#include "http/internal/responseparser.h"

#include "http/internal/httpstatus.h"
#include "http/internal/transfercoding.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <utility>

namespace lavendertally::http {

namespace beast = boost::beast;

namespace {

/// Bound on the header fields of a response, in bytes; twice the usual limit of web servers.
constexpr std::uint32_t MaxResponseHeaders = 64 * 1024;

/// \return whether a status code is one of the classes that HTTP defines (RFC 9110, section 15)
bool isStatusCode(int status)
{
    constexpr int EndOfClasses = 600;
    return status >= HttpStatus::Continue && status < EndOfClasses;
}

/// \return whether a status code can answer a request that asks for no other protocol
bool mayAnswer(int status)
{
    return isStatusCode(status) && status != HttpStatus::SwitchingProtocols;
}

/// \return whether one of the complete header fields in \p lines goes on in a further line
/// (obs-fold, RFC 9112, section 5.2)
bool hasFoldedField(std::string_view lines)
{
    return lines.find("\r\n ") != std::string_view::npos
        || lines.find("\r\n\t") != std::string_view::npos;
}

bool isInterim(int status)
{
    return status >= HttpStatus::Continue && status < HttpStatus::Ok;
}

} // namespace

class ResponseParser::Message final : public beast::http::basic_parser<false>
{
public:
    HttpResponseHead m_head;
    bool m_isHttp11 = false;
    std::string m_body;

private:
    void on_request_impl(beast::http::verb /*method*/, beast::string_view /*name*/,
                         beast::string_view /*target*/, int /*version*/,
                         beast::error_code & /*error*/) override
    { }
    void on_response_impl(int code, beast::string_view /*reason*/, int version,
                          beast::error_code & /*error*/) override
    {
        constexpr int Http11 = 11;
        m_isHttp11 = version == Http11;
        m_head.status = code;
    }
    void on_field_impl(beast::http::field /*field*/, beast::string_view name,
                       beast::string_view value, beast::error_code & /*error*/) override
    {
        if (m_isHeadComplete) {
            // Fields behind the chunks of a body are no part of the head, and nothing here uses
            // them.
            return;
        }
        m_head.headers.emplace_back(std::string(name.data(), name.size()),
                                    std::string(value.data(), value.size()));
    }
    void on_header_impl(beast::error_code & /*error*/) override { m_isHeadComplete = true; }
    void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/,
                           beast::error_code & /*error*/) override
    { }
    std::size_t on_body_impl(beast::string_view body, beast::error_code & /*error*/) override
    {
        m_body.append(body.data(), body.size());
        return body.size();
    }
    void on_chunk_header_impl(std::uint64_t /*size*/, beast::string_view /*extensions*/,
                              beast::error_code & /*error*/) override
    { }
    std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/, beast::string_view body,
                                   beast::error_code & /*error*/) override
    {
        m_body.append(body.data(), body.size());
        return body.size();
    }
    void on_finish_impl(beast::error_code & /*error*/) override { }

    bool m_isHeadComplete = false;
};

ResponseParser::ResponseParser(bool bodiless) : m_bodiless(bodiless)
{
    start();
}

ResponseParser::~ResponseParser() = default;

void ResponseParser::start()
{
    m_message = std::make_unique<Message>();
    m_isHeadAccepted = false;
    // The head is checked before anything behind it is read.
    m_message->eager(false);
    m_message->skip(m_bodiless);
    m_message->body_limit(boost::none);
    m_message->header_limit(MaxResponseHeaders);
}

ResponseParser::State ResponseParser::feed(std::string_view input, std::size_t &taken)
{
    taken = 0;
    while (taken < input.size()) {
        beast::error_code error;
        const std::string_view rest = input.substr(taken);
        const std::size_t used =
            m_message->put(boost::asio::const_buffer(rest.data(), rest.size()), error);
        taken += used;
        if (!m_isHeadAccepted && !checkHead(rest.substr(0, used))) {
            return State::Malformed;
        }
        if (m_message->is_done()) {
            if (!isInterim(m_message->m_head.status)) {
                return State::Complete;
            }
            start();
            continue;
        }
        if (error == beast::http::error::need_more || (!error && used == 0)) {
            return State::NeedMore;
        }
        if (error) {
            return State::Malformed;
        }
    }
    return State::NeedMore;
}

bool ResponseParser::checkHead(std::string_view taken)
{
    // The parser takes a field together with all of its lines.
    if (hasFoldedField(taken)) {
        return false;
    }
    if (!m_message->is_header_done()) {
        return true;
    }
    HttpResponseHead &head = m_message->m_head;
    if (!mayAnswer(head.status)
        || !hasReadableTransferCoding(head.headers, m_message->m_isHttp11)) {
        return false;
    }
    head.framed = !m_message->need_eof();
    m_message->eager(true);
    m_isHeadAccepted = true;
    return true;
}

ResponseParser::State ResponseParser::feedEnd()
{
    if (!m_isHeadAccepted) {
        return State::Malformed;
    }
    beast::error_code error;
    m_message->put_eof(error);
    return error ? State::Malformed : State::Complete;
}

bool ResponseParser::hasHead() const
{
    return m_isHeadAccepted && !isInterim(m_message->m_head.status);
}

const HttpResponseHead &ResponseParser::head() const
{
    return m_message->m_head;
}

std::string ResponseParser::takeBody()
{
    return std::exchange(m_message->m_body, {});
}

bool ResponseParser::keepAlive() const
{
    return m_message->keep_alive();
}

} // namespace lavendertally::http
