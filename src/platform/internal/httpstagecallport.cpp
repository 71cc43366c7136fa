#include "platform/internal/httpstagecallport.h"

#include "connections/iconnectionshares.h"
#include "framework/ilogger.h"
#include "framework/imetrics.h"
#include "framework/types/errorcontext.h"
#include "http/ihttpcall.h"
#include "http/ihttpclient.h"
#include "http/types/httprequest.h"
#include "http/types/httpresponse.h"
#include "membership/ibackendserverupdates.h"
#include "platform/internal/answercodec.h"
#include "platform/internal/backendservercodec.h"
#include "platform/internal/stagecodec.h"
#include "platform/internal/wirenames.h"
#include "platform/types/encodeerror.h"
#include "stages/types/pieceoutcome.h"
#include "stages/types/stagecalloutcome.h"
#include "stages/types/startstagecall.h"

#include <algorithm>
#include <string>
#include <utility>

namespace lavendertally::platform {

namespace {

/// Freeing results is best effort; the results expire by themselves.
constexpr framework::Milliseconds FreeTimeout{1000};

/// A later report would be of no use: the server has calls by then.
constexpr framework::Milliseconds ReportTimeout{500};

/// An answer has some hundred bytes for each piece of a batch.
constexpr framework::Bytes MaxStageAnswer{256 * 1024};

constexpr const char *ForeignAnswers = "lavendertally_foreign_stage_answers_total";

http::HttpRequest jsonRequest(const framework::Endpoint &endpoint, std::string_view target,
                              std::string body)
{
    http::HttpRequest request;
    request.endpoint = endpoint;
    request.method = http::HttpMethod::Post;
    request.target = std::string(target);
    request.headers = {{"Content-Type", std::string(wire::JsonType)}};
    request.body = std::move(body);
    return request;
}

bool hasResults(const stages::StageCallOutcome &outcome)
{
    return std::any_of(outcome.pieces.begin(), outcome.pieces.end(),
                       [](const stages::PieceOutcome &piece) { return !piece.result.isEmpty(); });
}

} // namespace

HttpStageCallPort::HttpStageCallPort(http::IHttpClient &client,
                                     membership::IBackendServerUpdates &servers,
                                     connections::IConnectionShares &connections,
                                     framework::ILogger &logger, framework::IMetrics &metrics)
    : m_client(client), m_servers(servers), m_connections(connections), m_logger(logger),
      m_metrics(metrics)
{ }

HttpStageCallPort::~HttpStageCallPort() = default;

void HttpStageCallPort::startCall(const stages::StartStageCall &call,
                                  std::function<void(stages::StageCallOutcome)> done)
{
    framework::leaf::try_handle_all(
        [&]() -> framework::Result<void> {
            BOOST_LEAF_AUTO(body, encodePieceOrders(call.pieces));
            sendCall(call, std::move(body), std::move(done));
            return {};
        },
        [&](EncodeError /*error*/, const framework::ErrorContext &context) {
            m_logger.error("stage call lacks an input; not sent", {{"piece", context.message}});
            done({stages::StageCallStatus::NotRun, {}});
        },
        [&] {
            done({stages::StageCallStatus::NotRun, {}});
        });
}

void HttpStageCallPort::sendCall(const stages::StartStageCall &call, std::string body,
                                 std::function<void(stages::StageCallOutcome)> done)
{
    m_connections.noteServer(call.server);
    http::HttpRequest request = jsonRequest(call.server.endpoint, wire::StageRun, std::move(body));
    request.headers.emplace_back(std::string(wire::ExpectInstance), call.server.id.value());
    request.timeout = call.timeout;
    request.maxResponseBody = MaxStageAnswer;
    const auto outcome = std::make_shared<stages::StageCallOutcome>();
    const std::size_t pieceCount = call.pieces.size();
    request.isOwnResponse = [this, outcome, pieceCount,
                             server = call.server.endpoint](const http::HttpResponse &response) {
        return readAnswer(server, pieceCount, response, *outcome);
    };
    const std::uint64_t number = m_next++;
    m_calls[number] = m_client.fetch(
        request,
        [this, number, outcome, pieceCount, server = call.server.endpoint,
         lifetime = call.server.lifetime(),
         done = std::move(done)](const http::HttpResponse &response) {
            // Keeps the call until its callback has returned.
            const auto node = m_calls.extract(number);
            if (response.end == http::HttpEnd::Malformed) {
                m_logger.warning("stage server sent no HTTP response; call counts as failed",
                                 {{"endpoint", server.toString()}});
            }
            if (response.end != http::HttpEnd::Complete) {
                *outcome = decodeStageAnswer(response, pieceCount);
            }
            if (saysItLeaves(response.headers)) {
                m_servers.noteLeaving(lifetime);
            }
            done(std::move(*outcome));
        });
}

bool HttpStageCallPort::readAnswer(const framework::Endpoint &server, std::size_t pieceCount,
                                   const http::HttpResponse &response,
                                   stages::StageCallOutcome &outcome)
{
    outcome = decodeStageAnswer(response, pieceCount);
    if (outcome.status == stages::StageCallStatus::NotRun) {
        // Refusals name no call; this one may be a copy of an earlier one.
        return false;
    }
    if (outcome.status != stages::StageCallStatus::Answered) {
        noteForeignAnswer("run", server, response);
        return false;
    }
    if (!hasResults(outcome)) {
        return false;
    }
    if (m_recentAnswers.record(server, outcome)) {
        m_metrics.increment(ForeignAnswers, {{"call", "run"}});
        m_logger.warning("answer to an earlier stage call received again; call counts as failed",
                         {{"endpoint", server.toString()}});
        outcome = {};
        return false;
    }
    return true;
}

void HttpStageCallPort::noteForeignAnswer(const char *call, const framework::Endpoint &server,
                                          const http::HttpResponse &response)
{
    m_metrics.increment(ForeignAnswers, {{"call", call}});
    m_logger.warning("stage server sent no answer to the call; the connection is closed",
                     {{"call", call},
                      {"endpoint", server.toString()},
                      {"status", std::to_string(response.status)},
                      {"bytes", std::to_string(response.body.size())}});
}

void HttpStageCallPort::queryFreeStorage(const membership::BackendServerEntry &server,
                                         std::function<void(framework::Bytes)> done)
{
    m_connections.noteServer(server);
    http::HttpRequest request;
    request.endpoint = server.endpoint;
    request.target = std::string(wire::Report);
    request.headers.emplace_back(std::string(wire::ExpectInstance), server.id.value());
    request.timeout = ReportTimeout;
    request.isOwnResponse = [this, server = server.endpoint](const http::HttpResponse &response) {
        const bool isOwn = decodeFreeStorage(response).has_value();
        if (!isOwn) {
            noteForeignAnswer("report", server, response);
        }
        return isOwn;
    };
    const std::uint64_t number = m_next++;
    m_calls[number] = m_client.fetch(
        request,
        [this, number, endpoint = server.endpoint,
         done = std::move(done)](const http::HttpResponse &response) {
            const auto node = m_calls.extract(number);
            const auto free = decodeFreeStorage(response);
            if (!free) {
                m_logger.info("free storage of a stage server unknown; taken to be all of it",
                              {{"endpoint", endpoint.toString()},
                               {"status", std::to_string(response.status)}});
                return;
            }
            done(*free);
        });
}

void HttpStageCallPort::freeResults(
    const std::vector<framework::StageResultId> &results,
    std::function<void(const std::vector<framework::StageResultId> &)> done)
{
    std::map<framework::Endpoint, std::vector<framework::StageResultId>> byServer;
    for (const framework::StageResultId &result : results) {
        // A result's name begins with the address of the backend server that keeps it.
        const std::string &name = result.value();
        if (const auto endpoint = parseEndpoint(name.substr(0, name.find('/')))) {
            byServer[*endpoint].push_back(result);
        }
    }
    for (const auto &entry : byServer) {
        const framework::Endpoint &endpoint = entry.first;
        const std::vector<framework::StageResultId> &own = entry.second;
        http::HttpRequest request = jsonRequest(endpoint, wire::StageFree, encodeResultIds(own));
        request.timeout = FreeTimeout;
        request.isOwnResponse = [this, endpoint](const http::HttpResponse &response) {
            const bool isOwn = isFreeAnswer(response);
            if (!isOwn) {
                noteForeignAnswer("free", endpoint, response);
            }
            return isOwn;
        };
        const std::uint64_t number = m_next++;
        m_calls[number] = m_client.fetch(
            request,
            [this, number, server = endpoint, own, done](const http::HttpResponse &response) {
                const auto node = m_calls.extract(number);
                if (!isFreeAnswer(response)) {
                    m_logger.info("results not freed; they expire",
                                  {{"endpoint", server.toString()},
                                   {"status", std::to_string(response.status)}});
                    return;
                }
                done(own);
            });
    }
}

} // namespace lavendertally::platform
