// A stage worker sends some of its answers once more, late, at the point where the next response is
// expected. No request may get the stage results of another one.

#include "kit.h"

using namespace kit;

namespace {

constexpr int StageWorkers = 3;
constexpr int Pieces = 10;
constexpr double CallMs = 240.0;
constexpr double ItemMs = 21.0;
/// Workers differ in speed; this is the time that a piece takes in comparison to the configuration.
constexpr double Pace = 1.25;
/// The dose of the site file: this part of the answers of at most six workers in ten.
constexpr double DoubledPart = 0.03;
constexpr std::int64_t LoadMs = 70000;
constexpr std::int64_t RequestIntervalMs = 200;

/// What has been made, by the handle of the result.
struct Results
{
    std::mutex mutex;
    std::map<std::string, std::string> requestOf;
    int number = 0;
};

/// \return the texts that follow \p name in \p json
std::vector<std::string> textsOf(const std::string &json, const std::string &name)
{
    std::vector<std::string> texts;
    const std::string mark = "\"" + name + "\":\"";
    for (std::size_t at = 0; (at = json.find(mark, at)) != std::string::npos;) {
        at += mark.size();
        texts.push_back(json.substr(at, json.find('"', at) - at));
    }
    return texts;
}

/// Makes pieces, one call at a time.
class StageWorker
{
public:
    StageWorker(std::string name, Results &results, bool doubles)
        : m_name(std::move(name)), m_results(results), m_doubles(doubles),
          m_server([this](Connection &connection, const Message &request) {
              return handle(connection, request);
          })
    { }
    std::string endpoint() const { return m_server.endpoint(); }
    int doubled() const { return m_doubledAnswers; }

private:
    bool handle(Connection &connection, const Message &request)
    {
        std::string late;
        {
            const std::lock_guard lock(m_mutex);
            const auto found = m_late.find(&connection);
            if (found != m_late.end() && request.target() == "/stage-run") {
                late = found->second;
                m_late.erase(found);
                ++m_doubledAnswers;
            }
        }
        if (!late.empty()) {
            record().line(m_name + " sends its answer to the call before once more");
            connection.send(late);
        }
        const std::string expected = request.header("X-Lavendertally-Expect-Instance");
        if (!expected.empty() && expected != m_name) {
            return connection.send(writeMessage("HTTP/1.1 421 Misdirected",
                                                {{"X-Lavendertally-Not-Executed", "1"}}, ""));
        }
        if (request.target() == "/stage-run") {
            return run(connection, request);
        }
        const std::string body =
            request.target() == "/report" ? R"({"waiting":0,"busy":false,"freeMb":100.0})" : "{}";
        const std::string answer =
            writeMessage("HTTP/1.1 200 OK", {{"Content-Type", "application/json"}}, body);
        const std::lock_guard lock(m_mutex);
        ++m_answers;
        if (m_doubles && hasTrouble() && m_late.empty()
            && m_doubledAnswers + 1 <= m_answers * DoubledPart) {
            m_late[&connection] = answer;
        }
        return connection.send(answer);
    }
    bool run(Connection &connection, const Message &request)
    {
        if (++m_waiting > 3) {
            --m_waiting;
            return connection.send(
                writeMessage("HTTP/1.1 503 Full", {{"X-Lavendertally-Not-Executed", "1"}}, ""));
        }
        const std::vector<std::string> ids = textsOf(request.body, "id");
        std::string items;
        {
            const std::lock_guard turn(m_turn);
            sleepMs(static_cast<std::int64_t>(
                Pace * (CallMs + ItemMs * static_cast<double>(ids.size()))));
            const std::lock_guard lock(m_results.mutex);
            for (const std::string &id : ids) {
                const std::string handle =
                    endpoint() + "/" + std::to_string(1000000 + ++m_results.number);
                m_results.requestOf[handle] = id;
                items += (items.empty() ? "" : ",") + std::string("{\"handleId\":\"") + handle
                    + "\"}";
            }
        }
        --m_waiting;
        {
            const std::lock_guard lock(m_mutex);
            ++m_answers;
        }
        record().line(m_name + " has made " + std::to_string(ids.size()) + " pieces of "
                      + (ids.empty() ? "" : ids.front()));
        return connection.send(writeMessage("HTTP/1.1 200 OK",
                                            {{"Content-Type", "application/json"},
                                             {"X-Lavendertally-Server-Load", "0,0,1"}},
                                            "{\"items\":[" + items + "]}"));
    }

    const std::string m_name;
    Results &m_results;
    const bool m_doubles;
    std::atomic<int> m_waiting{0};
    std::mutex m_turn;
    std::mutex m_mutex;
    std::map<Connection *, std::string> m_late;
    int m_answers = 0;
    std::atomic<int> m_doubledAnswers{0};
    Server m_server;
};

} // namespace

int main(int, char **arguments)
{
    signal(SIGPIPE, SIG_IGN);
    record().open(std::string(arguments[1]) + "/record.txt");
    Results results;
    std::atomic<int> foreign{0};
    std::atomic<int> ran{0};
    Server model([&](Connection &connection, const Message &request) {
        const std::string id = request.header("X-Lavendertally-Request-Id");
        std::string inputs = request.header("X-Lavendertally-Inputs");
        std::set<std::string> others;
        int count = 0;
        {
            const std::lock_guard lock(results.mutex);
            while (!inputs.empty()) {
                const std::size_t comma = std::min(inputs.find(','), inputs.size());
                const std::string &owner = results.requestOf[inputs.substr(0, comma)];
                if (owner != id) {
                    others.insert(owner);
                }
                ++count;
                inputs.erase(0, comma + 1);
            }
        }
        ++ran;
        std::string text = "model runs " + id + " with " + std::to_string(count) + " inputs";
        for (const std::string &other : others) {
            text += ", of request " + other;
        }
        record().line(text);
        foreign += others.empty() ? 0 : 1;
        return connection.send(writeMessage("HTTP/1.1 200 OK",
                                            {{"Content-Type", "text/event-stream"},
                                             {"X-Lavendertally-Request-Id", id},
                                             {"X-Lavendertally-Response-Signature", "s-" + id}},
                                            "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
    });
    Rig rig;
    rig.store().put("keyed.op", "config", R"({"version":1,"routes":[{"name":"plan",
        "hostname":"desk.example","pathPrefix":"/plan/","service":"models",
        "routeKind":"streaming","streamResume":true,"timeoutMs":12000,"priority":0,"public":true,
        "maxAttempts":2,"targetLatencyMs":6000,"stages":[{"service":"pool","after":[],
        "bytes":8000}]}],"services":[{"name":"models","healthPath":"/healthz","maxConnections":280,
        "engineKind":{"slots":64}},{"name":"pool","healthPath":"/healthz","maxConnections":280,
        "pieces":{"slots":1,"queueLimit":2,"batchSize":10,"callMs":240.0,"itemMs":21.0,
        "headroomMb":12.0,"handleS":4.0,"linkMbps":10000}}]})");
    const std::int64_t born = unixMs();
    std::vector<std::unique_ptr<StageWorker>> stageWorkers;
    for (int number = 1; number <= StageWorkers; ++number) {
        const std::string name = "p" + std::to_string(number);
        // One of three workers; the dose allows six in ten.
        stageWorkers.push_back(std::make_unique<StageWorker>(name, results, number == 1));
    }
    std::atomic<std::uint64_t> sequence{0};
    const auto report = [&] {
        ++sequence;
        rig.store().put("keyed.servers", "m1",
                        workerEntry("models", model.endpoint(), "ready", 64, sequence, born));
        for (std::size_t index = 0; index < stageWorkers.size(); ++index) {
            rig.store().put("keyed.servers", "p" + std::to_string(index + 1),
                            workerEntry("pool", stageWorkers[index]->endpoint(), "ready", 1,
                                        sequence, born));
        }
    };
    report();
    rig.startGateways(2);
    sleepMs(2500);
    std::atomic<int> served{0};
    std::atomic<int> open{0};
    const std::int64_t end = nowMs() + LoadMs;
    std::int64_t reported = nowMs();
    for (int number = 1; nowMs() < end && foreign == 0; ++number) {
        ++open;
        std::thread([&, number] {
            const std::string id = "r" + std::to_string(number);
            const Message answer =
                ask(rig.gateways()[static_cast<std::size_t>(number % 2)]->front(), "POST",
                    "/plan/1",
                    {{"X-Lavendertally-Request-Id", id},
                     {"X-Lavendertally-Deadline-Ms", "12000"},
                     {"X-Lavendertally-Pieces", std::to_string(Pieces)},
                     {"X-Lavendertally-Piece-Key", "7c1e07a291bd"}},
                    "{}", 13000);
            record().line("request " + id + ": " + answer.outcome());
            served += answer.status() == 200 ? 1 : 0;
            --open;
        }).detach();
        sleepMs(RequestIntervalMs);
        if (nowMs() - reported >= 1200) {
            reported = nowMs();
            report();
        }
    }
    while (open > 0) {
        sleepMs(20);
    }
    int doubled = 0;
    for (const auto &worker : stageWorkers) {
        doubled += worker->doubled();
    }
    record().line("served: " + std::to_string(served) + ", answers sent once more: "
                  + std::to_string(doubled) + ", requests run with results of others: "
                  + std::to_string(foreign));
    if (foreign > 0) {
        record().line("MIXED: a request is given inputs of another request");
        return ExitBroken;
    }
    if (served == 0) {
        notRun("no request is served");
    }
    return ExitHeld;
}
