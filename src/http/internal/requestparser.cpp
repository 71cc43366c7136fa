#include "http/internal/requestparser.h"

#include "http/headerlookup.h"
#include "http/internal/bodybuffer.h"
#include "http/internal/httpstatus.h"
#include "http/internal/transfercoding.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <utility>

namespace lavendertally::http {

namespace beast = boost::beast;

namespace {

constexpr int Http11 = 11;

bool hasControlCharacter(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](char character) {
        const auto code = static_cast<unsigned char>(character);
        constexpr unsigned char FirstPrintable = 0x20;
        constexpr unsigned char Delete = 0x7f;
        return (code < FirstPrintable && code != '\t') || code == Delete;
    });
}

int statusOf(const beast::error_code &error)
{
    if (error == beast::http::error::body_limit) {
        return HttpStatus::PayloadTooLarge;
    }
    if (error == beast::http::error::header_limit) {
        return HttpStatus::HeaderFieldsTooLarge;
    }
    return HttpStatus::BadRequest;
}

} // namespace

class RequestParser::Message final : public beast::http::basic_parser<true>
{
public:
    HttpRequestHead m_head;
    BodyBuffer m_body;
    int m_version = Http11;

private:
    void on_request_impl(beast::http::verb /*method*/, beast::string_view name,
                         beast::string_view target, int version,
                         beast::error_code & /*error*/) override
    {
        m_head.method.assign(name.data(), name.size());
        m_head.target.assign(target.data(), target.size());
        m_version = version;
    }
    void on_response_impl(int /*code*/, beast::string_view /*reason*/, int /*version*/,
                          beast::error_code & /*error*/) override
    { }
    void on_field_impl(beast::http::field /*field*/, beast::string_view name,
                       beast::string_view value, beast::error_code & /*error*/) override
    {
        m_head.headers.emplace_back(std::string(name.data(), name.size()),
                                    std::string(value.data(), value.size()));
    }
    void on_header_impl(beast::error_code & /*error*/) override { }
    void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/,
                           beast::error_code & /*error*/) override
    { }
    std::size_t on_body_impl(beast::string_view body, beast::error_code & /*error*/) override
    {
        m_body.append({body.data(), body.size()});
        return body.size();
    }
    void on_chunk_header_impl(std::uint64_t /*size*/, beast::string_view /*extensions*/,
                              beast::error_code & /*error*/) override
    { }
    std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/, beast::string_view body,
                                   beast::error_code & /*error*/) override
    {
        m_body.append({body.data(), body.size()});
        return body.size();
    }
    void on_finish_impl(beast::error_code & /*error*/) override { }
};

RequestParser::RequestParser(const HttpLimits &limits) : m_message(std::make_unique<Message>())
{
    m_message->eager(true);
    m_message->body_limit(static_cast<std::uint64_t>(limits.maxBody.value()));
    m_message->header_limit(static_cast<std::uint32_t>(limits.maxHeaders.value()));
}

RequestParser::~RequestParser() = default;

RequestParser::State RequestParser::feed(std::string_view input, std::size_t &taken)
{
    taken = 0;
    m_started = m_started || !input.empty();
    while (taken < input.size()) {
        beast::error_code error;
        const std::string_view rest = input.substr(taken);
        const std::size_t used =
            m_message->put(boost::asio::const_buffer(rest.data(), rest.size()), error);
        taken += used;
        if (m_message->is_header_done() && !m_headChecked && checkHead() == State::Refused) {
            return State::Refused;
        }
        if (m_message->is_done()) {
            return State::Complete;
        }
        if (error == beast::http::error::need_more || (!error && used == 0)) {
            return State::NeedMore;
        }
        if (error) {
            return refuse(statusOf(error));
        }
    }
    return State::NeedMore;
}

RequestParser::State RequestParser::checkHead()
{
    m_headChecked = true;
    const HttpRequestHead &head = m_message->m_head;
    const HttpHeaders &headers = head.headers;
    if (head.target.empty() || head.target.front() != '/' || hasControlCharacter(head.target)) {
        return refuse(HttpStatus::BadRequest);
    }
    const bool http11 = m_message->m_version == Http11;
    const std::size_t hosts = countHeaders(headers, "Host");
    if (hosts > 1 || (http11 && hosts == 0) || countHeaders(headers, "Content-Length") > 1) {
        return refuse(HttpStatus::BadRequest);
    }
    const bool control = std::any_of(headers.begin(), headers.end(), [](const auto &field) {
        return hasControlCharacter(field.second);
    });
    if (control) {
        return refuse(HttpStatus::BadRequest);
    }
    if (!hasReadableTransferCoding(headers, http11)) {
        return refuse(HttpStatus::BadRequest);
    }
    const auto expect = findHeader(headers, "Expect");
    m_expectsContinue = expect && sameHeaderName(*expect, "100-continue") && http11;
    return State::NeedMore;
}

RequestParser::State RequestParser::refuse(int status)
{
    m_refusalStatus = status;
    return State::Refused;
}

bool RequestParser::takeExpectsContinue()
{
    return std::exchange(m_expectsContinue, false);
}

bool RequestParser::keepAlive() const
{
    return m_message->keep_alive();
}

bool RequestParser::understandsChunks() const
{
    return m_message->m_version == Http11;
}

std::size_t RequestParser::bodyMemory() const
{
    return m_message->m_body.memory();
}

HttpRequestHead RequestParser::takeHead()
{
    return std::move(m_message->m_head);
}

std::string RequestParser::takeBody()
{
    return m_message->m_body.take();
}

} // namespace lavendertally::http
