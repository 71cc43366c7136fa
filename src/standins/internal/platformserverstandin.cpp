#include "standins/platformserverstandin.h"

#include "http/ihttpexchange.h"
#include "http/types/httprequesthead.h"
#include "standins/internal/httpstatus.h"
#include "standins/internal/json.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace lavendertally::standins {

namespace {

constexpr const char *RequestIdField = "X-Lavendertally-Request-Id";
constexpr const char *SignatureField = "X-Lavendertally-Response-Signature";
constexpr const char *NotExecutedField = "X-Lavendertally-Not-Executed";
constexpr const char *InstanceField = "X-Lavendertally-Expect-Instance";
constexpr const char *TeamField = "X-Lavendertally-Tenant";
constexpr const char *PromptField = "X-Lavendertally-Prompt-Prefix";
constexpr int HttpMisdirected = 421;

std::string eventText(std::uint64_t event)
{
    return "id: " + std::to_string(event) + "\ndata: e\n\n";
}

} // namespace

std::string PlatformServerStandIn::wholeStream()
{
    std::string text;
    for (std::uint64_t event = 1; event <= EventsInAStream; ++event) {
        text += eventText(event);
    }
    return text;
}

PlatformServerStandIn::PlatformServerStandIn(framework::IEventLoop &loop, std::string id)
    : StandInServer(loop), m_id(std::move(id))
{ }

std::size_t PlatformServerStandIn::runs(const std::string &request) const
{
    return m_runs.count(request);
}

void PlatformServerStandIn::handle(const ExchangePtr &exchange, FaultMode /*mode*/)
{
    if (exchange->header(InstanceField).value_or(m_id) != m_id) {
        exchange->reply(HttpMisdirected, {}, {});
        return;
    }
    if (exchange->path() == "/stage-run") {
        makePieces(exchange);
    } else if (exchange->path() == "/stage-free") {
        freeResults(exchange);
    } else if (exchange->path() == "/report") {
        reportStorage(exchange);
    } else {
        run(exchange);
    }
}

void PlatformServerStandIn::makePieces(const ExchangePtr &exchange)
{
    const auto order = nlohmann::json::parse(exchange->body(), nullptr, false);
    if (!order.is_object() || !order.contains("items")) {
        replyError(*exchange, HttpStatus::BadRequest, "malformed");
        return;
    }
    nlohmann::json items = nlohmann::json::array();
    for (const auto &item : order["items"]) {
        MadePiece piece;
        piece.request = item.value("id", "");
        piece.stage = item.value("stage", 0U);
        piece.result = endpoint().toString() + "/" + std::to_string(m_nextResult++);
        piece.inputs = item.value("inputs", std::vector<std::string>());
        items.push_back({{"handleId", piece.result}});
        m_madePieces.push_back(std::move(piece));
    }
    replyJson(*exchange, HttpStatus::Ok, {{"items", items}});
}

void PlatformServerStandIn::freeResults(const ExchangePtr &exchange)
{
    const auto order = nlohmann::json::parse(exchange->body(), nullptr, false);
    m_freed += order.is_object() && order.contains("handleIds") ? order["handleIds"].size() : 0;
    replyJson(*exchange, HttpStatus::Ok, nlohmann::json::object());
}

void PlatformServerStandIn::reportStorage(const ExchangePtr &exchange)
{
    // Storage is not limited here.
    constexpr int FreeMegabytes = 1000;
    replyJson(*exchange, HttpStatus::Ok,
              {{"waiting", 0}, {"busy", false}, {"freeMb", FreeMegabytes}});
}

void PlatformServerStandIn::run(const ExchangePtr &exchange)
{
    const std::string request = exchange->header(RequestIdField).value_or("");
    m_lastHeaders.clear();
    for (const auto &[name, value] : exchange->head().headers) {
        m_lastHeaders.append(name).append(": ").append(value).append("\n");
    }
    if (m_full) {
        exchange->reply(HttpStatus::ServiceUnavailable, {}, {},
                        {{RequestIdField, request}, {NotExecutedField, "1"}});
        return;
    }
    m_runs.insert(request);
    if (m_onRun) {
        m_onRun(request, exchange->header(TeamField).value_or(""));
    }
    const std::string prompt = exchange->header(PromptField).value_or("");
    if (!m_deadlyPart.empty() && prompt.find(m_deadlyPart) != std::string::npos) {
        crash(m_downTime);
        return;
    }
    const bool isSlow = !m_slowPrefix.empty() && exchange->path().starts_with(m_slowPrefix);
    const framework::Milliseconds time = isSlow ? m_slowTime : m_workTime;
    ++m_inFlight;
    if (time.value() == 0) {
        answer(exchange, request);
        return;
    }
    deferred().callAfter(time, [this, exchange, request] { answer(exchange, request); });
}

void PlatformServerStandIn::answer(const ExchangePtr &exchange, const std::string &request)
{
    --m_inFlight;
    if (m_failEvery > 0 && m_runs.size() % m_failEvery == 0) {
        constexpr int HttpServerError = 500;
        ++m_failures;
        exchange->reply(HttpServerError, {}, {}, {{RequestIdField, request}});
        return;
    }
    if (exchange->path().starts_with("/stream/")) {
        stream(exchange, request);
        return;
    }
    exchange->reply(HttpStatus::Ok, {}, m_id + " ran " + request,
                    {{RequestIdField, request}, {SignatureField, "s-" + request}});
}

void PlatformServerStandIn::stream(const ExchangePtr &exchange, const std::string &request)
{
    const auto after = exchange->header("Last-Event-Id");
    exchange->startStream(HttpStatus::Ok, "text/event-stream",
                          {{RequestIdField, request}, {SignatureField, "s-" + request}});
    for (std::uint64_t event = after ? std::stoull(*after) + 1 : 1; event <= EventsInAStream;
         ++event) {
        exchange->sendPart(eventText(event));
        if (event == m_breakAfter) {
            deferred().callAfter(framework::Milliseconds(20), [exchange] { exchange->abort(); });
            return;
        }
    }
    exchange->endStream();
}

} // namespace lavendertally::standins
