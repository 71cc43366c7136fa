#include "infrastructure/internal/httplogservice.h"

#include "framework/asyncerror.h"
#include "infrastructure/internal/logjson.h"
#include "infrastructure/internal/responseerrors.h"
#include "infrastructure/types/firstkept.h"

#include <utility>

namespace lavendertally::infrastructure {

namespace {

std::string pathOf(const StreamName &stream)
{
    return "/v1/streams/" + stream.value() + "/records";
}

framework::Result<framework::LogOffset> appendResult(const http::HttpResponse &response)
{
    if (const auto error = effectError(response)) {
        return framework::asyncError<framework::LogOffset>(*error);
    }
    const auto first = decodeFirst(response.body);
    if (!first) {
        return framework::asyncError<framework::LogOffset>(InfrastructureError::MalformedAnswer);
    }
    return *first;
}

framework::Result<LogPage> expiredResult(const http::HttpResponse &response)
{
    const auto first = decodeFirst(response.body);
    if (!first) {
        return framework::asyncError<LogPage>(InfrastructureError::MalformedAnswer);
    }
    return framework::asyncError<LogPage>(InfrastructureError::Expired, FirstKept{*first});
}

framework::Result<LogPage> readResult(const http::HttpResponse &response, framework::LogOffset from,
                                      std::uint32_t limit)
{
    const auto error = readError(response);
    if (error == InfrastructureError::Expired) {
        return expiredResult(response);
    }
    if (error) {
        return framework::asyncError<LogPage>(*error);
    }
    auto page = decodePage(response.body, from, limit);
    if (!page) {
        return framework::asyncError<LogPage>(InfrastructureError::MalformedAnswer);
    }
    return std::move(*page);
}

} // namespace

HttpLogService::HttpLogService(http::IHttpClient &client, const framework::Endpoint &endpoint)
    : m_connection(client, endpoint)
{ }

void HttpLogService::append(const StreamName &stream, std::vector<std::string> records,
                            framework::Milliseconds timeout,
                            std::function<void(framework::Result<framework::LogOffset>)> callback)
{
    m_connection.post(pathOf(stream), encodeRecords(records), timeout,
                      [callback = std::move(callback)](const http::HttpResponse &response) {
                          callback(appendResult(response));
                      });
}

void HttpLogService::read(const StreamName &stream, framework::LogOffset from, std::uint32_t limit,
                          framework::Milliseconds wait, framework::Milliseconds timeout,
                          std::function<void(framework::Result<LogPage>)> callback)
{
    const std::string target = pathOf(stream) + "?from=" + std::to_string(from.value())
        + "&limit=" + std::to_string(limit) + "&wait_ms=" + std::to_string(wait.value());
    m_connection.get(
        target, timeout,
        [callback = std::move(callback), from, limit](const http::HttpResponse &response) {
            callback(readResult(response, from, limit));
        });
}

} // namespace lavendertally::infrastructure
