#include "platform/clientgateway.h"

#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "framework/types/errorcontext.h"
#include "http/ihttpexchange.h"
#include "platform/internal/clientrequestcodec.h"
#include "platform/internal/exchangereply.h"
#include "platform/types/decodeerror.h"
#include "proxy/iproxyservice.h"

#include <utility>

namespace lavendertally::platform {

ClientGateway::ClientGateway(proxy::IProxyService &service, framework::ILogger &logger,
                             framework::IMetrics &metrics)
    : m_service(service), m_logger(logger), m_metrics(metrics)
{ }

void ClientGateway::handle(const std::shared_ptr<http::IHttpExchange> &exchange)
{
    constexpr int BadRequest = 400;
    framework::leaf::try_handle_all(
        [&]() -> framework::Result<void> {
            BOOST_LEAF_AUTO(request, decodeClientRequest(exchange->head(), exchange->takeBody()));
            auto reply = std::make_unique<ExchangeReply>(exchange, request.id);
            const auto ticket = m_service.start(std::move(request), std::move(reply));
            exchange->onHangUp([this, ticket] { m_service.abandon(ticket); });
            return {};
        },
        [&](DecodeError /*error*/, const framework::ErrorContext &context) {
            m_logger.warning("request cannot be read; refused", {{"problem", context.message}});
            m_metrics.increment("lavendertally_bad_requests_total", {});
            exchange->reply(BadRequest, {}, {}, {});
        },
        [&] { exchange->reply(BadRequest, {}, {}, {}); });
}

} // namespace lavendertally::platform
