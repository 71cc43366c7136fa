#include "standins/modelenginestandin.h"

#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "http/ihttpexchange.h"
#include "standins/internal/completionformat.h"
#include "standins/internal/httpstatus.h"
#include "standins/internal/json.h"

#include <algorithm>
#include <sstream>

namespace lavendertally::standins {

namespace {

constexpr std::uint64_t DefaultMaxTokens = 16;
constexpr std::uint64_t LeastUrgentPriority = 2;
constexpr std::uint64_t DefaultPriority = 1;
constexpr std::int64_t Percent = 100;

std::vector<std::string> splitWords(const std::string &text)
{
    std::istringstream stream(text);
    std::vector<std::string> words;
    for (std::string word; stream >> word;) {
        words.push_back(std::move(word));
    }
    return words;
}

} // namespace

ModelEngineStandIn::ModelEngineStandIn(framework::IEventLoop &loop, const EngineOptions &options)
    : StandInServer(loop), m_options(options), m_coldStart(clock(), options.coldStart),
      m_load(options.reportLag),
      m_cache(options.cacheEntries, options.cacheEventDelay, options.cacheEventGap),
      m_model(options.model)
{ }

ModelEngineStandIn::~ModelEngineStandIn() = default;

void ModelEngineStandIn::restart()
{
    loseCalls();
    m_cache.clear();
    m_coldStart.restart();
}

void ModelEngineStandIn::handle(const ExchangePtr &exchange, FaultMode mode)
{
    const std::string &path = exchange->path();
    const bool posts = exchange->method() == http::HttpMethod::Post;
    if (path == "/v1/completions" && posts) {
        complete(exchange);
    } else if (path == "/v1/state") {
        replyState(exchange, mode);
    } else if (path == "/v1/orders" && posts) {
        takeOrder(exchange);
    } else if (path == "/v1/orders") {
        replyOrders(exchange);
    } else if (path == "/v1/cache/events") {
        const std::string from = exchange->query("from").value_or("0");
        replyJson(*exchange, HttpStatus::Ok,
                  m_cache.eventsFrom(std::strtoull(from.c_str(), nullptr, 10), now()));
    } else {
        replyError(*exchange, HttpStatus::NotFound, "not_found");
    }
}

void ModelEngineStandIn::handleAdmin(const ExchangePtr &exchange)
{
    if (exchange->path() != "/admin/restart") {
        StandInServer::handleAdmin(exchange);
        return;
    }
    restart();
    replyJson(*exchange, HttpStatus::Ok, nlohmann::json::object());
}

bool ModelEngineStandIn::actsTwice(const http::IHttpExchange &exchange) const
{
    return exchange.path() == "/v1/orders" && exchange.method() == http::HttpMethod::Post;
}

void ModelEngineStandIn::onFaultSet(const Fault &fault)
{
    if (fault.mode == FaultMode::Cold) {
        m_coldStart.turnCold();
    }
}

void ModelEngineStandIn::complete(const ExchangePtr &exchange)
{
    const auto call = readObject(*exchange);
    if (!call || refuses(exchange)) {
        return;
    }
    if (isDeadly(*call)) {
        crash(m_options.downTime);
        restart();
        return;
    }
    if (!m_coldStart.beginCall()) {
        deferred().callAfter(framework::Milliseconds(0), [exchange] { exchange->abort(); });
        loseCalls();
        m_cache.clear();
        return;
    }
    const std::uint64_t priority =
        std::min(numberMember(*call, "priority", DefaultPriority), LeastUrgentPriority);
    const WaitingKey key{priority, m_nextArrival++};
    m_waiting.emplace(key, makeSequence(exchange, *call));
    exchange->onHangUp([this, key] { cancel(key); });
    fillBatch();
    scheduleStep();
}

bool ModelEngineStandIn::isDeadly(const nlohmann::json &call) const
{
    return !m_options.deadlyWord.empty()
        && textMember(call, "prompt").find(m_options.deadlyWord) != std::string::npos;
}

bool ModelEngineStandIn::refuses(const ExchangePtr &exchange)
{
    if (!m_coldStart.isReady()) {
        replyError(*exchange, HttpStatus::ServiceUnavailable, "not_ready");
        return true;
    }
    if (m_waiting.size() >= m_options.queueLimit) {
        replyError(*exchange, HttpStatus::ServiceUnavailable, "overloaded");
        return true;
    }
    return false;
}

ModelEngineStandIn::Sequence ModelEngineStandIn::makeSequence(const ExchangePtr &exchange,
                                                              const nlohmann::json &call) const
{
    const std::string prompt = textMember(call, "prompt");
    Sequence sequence;
    sequence.exchange = exchange;
    sequence.streams = call.value("stream", nlohmann::json()) == true;
    sequence.words = splitWords(prompt);
    sequence.prefix = prompt.substr(0, m_options.prefixBytes);
    sequence.maxTokens =
        std::max<std::uint64_t>(numberMember(call, "max_tokens", DefaultMaxTokens), 1);
    if (m_options.answerTokens > 0) {
        sequence.maxTokens = std::min<std::uint64_t>(sequence.maxTokens, m_options.answerTokens);
    }
    return sequence;
}

void ModelEngineStandIn::fillBatch()
{
    while (!m_waiting.empty() && m_batch.size() < m_options.maxBatch) {
        auto node = m_waiting.extract(m_waiting.begin());
        Sequence &sequence = node.mapped();
        const bool cached = m_cache.touch(prefixHash(sequence.prefix), now());
        sequence.prefilledAt = now() + prefillTime(cached);
        m_batch.insert(std::move(node));
    }
}

void ModelEngineStandIn::scheduleStep()
{
    if (m_step || m_batch.empty()) {
        return;
    }
    m_step = loop().callAfter(stepTime(), [this] { step(); });
}

void ModelEngineStandIn::step()
{
    m_step.reset();
    // Calls end within the pass, so it goes over keys.
    std::vector<WaitingKey> due;
    for (const auto &[key, sequence] : m_batch) {
        if (sequence.prefilledAt <= now()) {
            due.push_back(key);
        }
    }
    for (const WaitingKey &key : due) {
        const auto found = m_batch.find(key);
        makeToken(found->second);
        if (found->second.made == found->second.maxTokens) {
            auto node = m_batch.extract(found);
            m_coldStart.endCall(true);
            finish(node.mapped());
        }
    }
    fillBatch();
    scheduleStep();
}

void ModelEngineStandIn::makeToken(Sequence &sequence)
{
    const std::string word = sequence.words.empty()
        ? std::string("empty")
        : sequence.words[sequence.made % sequence.words.size()];
    if (sequence.streams && sequence.made == 0) {
        sequence.exchange->startStream(HttpStatus::Ok, "text/event-stream", {});
    }
    ++sequence.made;
    if (sequence.streams) {
        sequence.exchange->sendPart(chunkEvent(word + " "));
    } else {
        sequence.text += word + " ";
    }
}

void ModelEngineStandIn::finish(Sequence &sequence)
{
    const CompletionUsage usage{
        framework::TokenCount(static_cast<std::int64_t>(sequence.words.size())),
        framework::TokenCount(static_cast<std::int64_t>(sequence.made))};
    if (!sequence.streams) {
        replyJson(*sequence.exchange, HttpStatus::Ok, wholeCompletion(sequence.text, usage));
        return;
    }
    sequence.exchange->sendPart(finalEvent(usage));
    sequence.exchange->sendPart(doneEvent());
    sequence.exchange->endStream();
}

void ModelEngineStandIn::cancel(const WaitingKey &key)
{
    auto node = m_batch.extract(key);
    if (node.empty()) {
        node = m_waiting.extract(key);
    }
    if (node.empty()) {
        return;
    }
    ++m_cancelled;
    m_coldStart.endCall(false);
    deferred().callAfter(framework::Milliseconds(0),
                         [exchange = node.mapped().exchange] { exchange->abort(); });
    fillBatch();
}

void ModelEngineStandIn::loseCalls()
{
    const auto lose = [this](const std::map<WaitingKey, Sequence> &sequences) {
        for (const auto &[key, sequence] : sequences) {
            deferred().callAfter(framework::Milliseconds(0),
                                 [exchange = sequence.exchange] { exchange->abort(); });
        }
    };
    lose(std::exchange(m_batch, {}));
    lose(std::exchange(m_waiting, {}));
}

framework::Milliseconds ModelEngineStandIn::stepTime() const
{
    const std::int64_t further = static_cast<std::int64_t>(m_batch.size()) - 1;
    const std::int64_t percent = Percent + m_options.batchSlowdownPercent * further;
    const std::int64_t base = m_options.tokenInterval.value() * m_coldStart.slowdown();
    return framework::Milliseconds(base * percent / Percent);
}

framework::Milliseconds ModelEngineStandIn::prefillTime(bool cached) const
{
    const std::int64_t percent = cached ? m_options.cachedPrefillPercent : Percent;
    const std::int64_t base = m_options.prefillTime.value() * m_coldStart.slowdown();
    return framework::Milliseconds(base * percent / Percent);
}

} // namespace lavendertally::standins
