#include "frontend/internal/callerapi.h"

#include "framework/imetrics.h"
#include "framework/types/errorcontext.h"
#include "frontend/internal/callerexchange.h"
#include "frontend/internal/callerrequestparser.h"
#include "frontend/types/frontenderror.h"
#include "http/ihttpexchange.h"
#include "pipeline/irequestservice.h"
#include "pipeline/types/calleranswer.h"

#include "frontend/internal/answerwriter.h"

namespace lavendertally::frontend {

namespace {

constexpr const char *RequestsPath = "/v1/requests";
constexpr int HttpMethodNotAllowed = 405;

} // namespace

CallerApi::CallerApi(pipeline::IRequestService &requests, framework::IMetrics &metrics)
    : m_requests(requests), m_metrics(metrics)
{ }

CallerApi::~CallerApi() = default;

bool CallerApi::handle(const std::shared_ptr<http::IHttpExchange> &exchange)
{
    if (exchange->path() != RequestsPath) {
        return false;
    }
    if (exchange->method() != http::HttpMethod::Post) {
        exchange->reply(HttpMethodNotAllowed, "application/json",
                        R"({"error":{"code":"method_not_allowed","message":"use POST"}})",
                        {{"Allow", "POST"}});
        return true;
    }
    framework::leaf::try_handle_all(
        [&]() -> framework::Result<void> {
            BOOST_LEAF_AUTO(request, CallerRequestParser::parse(exchange->body()));
            start(exchange, request);
            return {};
        },
        [&](FrontendError /*error*/, const framework::ErrorContext &context) {
            refuse(exchange, context.message);
        },
        [&] { refuse(exchange, "request cannot be read"); });
    return true;
}

void CallerApi::start(const std::shared_ptr<http::IHttpExchange> &exchange,
                      const pipeline::CallerRequest &request)
{
    // m_exchanges owns the CallerExchange until the answer is written or the caller disconnects.
    // Both callbacks refer to it weakly: one is owned by it, the other by the HTTP exchange that it
    // owns, so strong references would form a cycle.
    auto weakCaller = std::make_shared<std::weak_ptr<CallerExchange>>();
    auto caller =
        std::make_shared<CallerExchange>(exchange, request.id, request.stream, [this, weakCaller] {
            m_exchanges.erase(weakCaller->lock());
        });
    *weakCaller = caller;
    m_exchanges.insert(caller);
    const pipeline::IRequestService::Ticket ticket = m_requests.start(request, *caller);
    exchange->onHangUp([this, weakCaller, ticket, exchange = std::weak_ptr(exchange)] {
        m_requests.abandon(ticket);
        m_exchanges.erase(weakCaller->lock());
        if (const auto abandoned = exchange.lock()) {
            abandoned->abort();
        }
    });
}

void CallerApi::refuse(const std::shared_ptr<http::IHttpExchange> &exchange,
                       const std::string &message)
{
    m_metrics.increment("lavendertally_invalid_requests_total", {});
    pipeline::CallerAnswer answer;
    answer.outcome = pipeline::RequestOutcome::NotRun;
    answer.reason = protocol::RefusalReason::InvalidRequest;
    answer.detail = message;
    answer.safeToRepeat = true;
    exchange->reply(AnswerWriter::status(answer), "application/json",
                    AnswerWriter::json(framework::RequestId(), answer),
                    {{"Lavendertally-Outcome", AnswerWriter::outcomeName(answer)}});
}

} // namespace lavendertally::frontend
