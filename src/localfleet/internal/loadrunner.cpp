#include "localfleet/loadrunner.h"

#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "http/ihttpcall.h"
#include "http/ihttpclient.h"
#include "http/types/httprequest.h"

#include <nlohmann/json.hpp>

namespace lavendertally::localfleet {

namespace {

constexpr framework::Milliseconds CallTimeout{60000};

} // namespace

LoadRunner::LoadRunner(framework::IEventLoop &loop, http::IHttpClient &client,
                       const framework::IClock &clock, std::string runName,
                       std::vector<framework::Endpoint> entries, std::vector<Workload> workloads)
    : m_loop(loop), m_client(client), m_clock(clock), m_runName(std::move(runName)),
      m_issuedAt(clock.wallNow()), m_entries(std::move(entries)), m_workloads(std::move(workloads))
{ }

LoadRunner::~LoadRunner() = default;

void LoadRunner::start(std::size_t count, framework::Milliseconds interval,
                       std::function<void()> finished)
{
    m_count = count;
    m_sent = 0;
    m_interval = interval;
    m_finished = std::move(finished);
    m_answers.clear();
    m_timer = m_loop.callAfter(framework::Milliseconds(0), [this] { sendNext(); });
}

void LoadRunner::sendNext()
{
    LoadAnswer request;
    request.workload = m_sent % m_workloads.size();
    request.requestId = m_runName + "-" + std::to_string(m_sent);
    const std::size_t entry = (m_sent / m_workloads.size()) % m_entries.size();
    ++m_sent;
    send(std::move(request), entry, [this](LoadAnswer answer) {
        m_answers.push_back(std::move(answer));
        if (m_answers.size() == m_count) {
            m_finished();
        }
    });
    if (m_sent < m_count) {
        m_timer = m_loop.callAfter(m_interval, [this] { sendNext(); });
    }
}

void LoadRunner::repeat(const LoadAnswer &answer, std::size_t entry,
                        std::function<void(LoadAnswer)> callback)
{
    send(answer, entry, std::move(callback));
}

void LoadRunner::send(LoadAnswer request, std::size_t entry,
                      std::function<void(LoadAnswer)> callback)
{
    http::HttpRequest message;
    message.endpoint = m_entries[entry];
    message.method = http::HttpMethod::Post;
    message.target = "/v1/requests";
    message.headers = {{"Content-Type", "application/json"}};
    message.body = body(request);
    message.timeout = CallTimeout;
    const framework::TimePoint sentAt = m_clock.now();
    m_calls.push_back(
        m_client.fetch(message,
                       [this, sentAt, request = std::move(request),
                        callback = std::move(callback)](const http::HttpResponse &response) {
                           LoadAnswer answer = request;
                           answer.end = response.end;
                           answer.status = response.status;
                           answer.body = response.body;
                           answer.elapsed = m_clock.now() - sentAt;
                           callback(std::move(answer));
                       }));
}

std::string LoadRunner::body(const LoadAnswer &request) const
{
    const Workload &workload = m_workloads[request.workload];
    return nlohmann::json{{"request_id", request.requestId},
                          {"team", workload.team.value()},
                          {"pipeline", workload.pipeline.value()},
                          {"issued_at_ms", m_issuedAt.sinceEpoch()},
                          {"input", nlohmann::json::parse(workload.input)}}
        .dump();
}

} // namespace lavendertally::localfleet
