#pragma once

// A small deployment of one service for bookings: workers in this process, which count what they
// run, and their entries in the store.

#include "kit.h"

namespace kit {

/// A worker of a service whose requests have the path /SERVICE/.
class DeskWorker
{
public:
    explicit DeskWorker(std::string name, std::string service = "desk")
        : m_name(std::move(name)), m_service(std::move(service)), m_born(unixMs()),
          m_server([this](Connection &connection, const Message &request) {
              return answer(connection, request);
          })
    { }
    const std::string &name() const { return m_name; }
    std::string endpoint() const { return m_server.endpoint(); }
    std::int64_t born() const { return m_born; }
    void setLeaving() { m_isLeaving = true; }
    /// Writes the worker's entry, as it does about every `heartbeatMs`.
    void report(Store &store, const std::string &state)
    {
        store.put("keyed.servers", m_name,
                  workerEntry(m_service, endpoint(), state, 6, ++m_sequence, m_born));
    }
    /// The process ends: it listens no more, and its connections are closed.
    void exit() { m_server.stop(); }
    /// \return how many requests it has run since \p time
    int runsSince(std::int64_t time)
    {
        const std::lock_guard lock(m_mutex);
        int count = 0;
        for (const std::int64_t run : m_runs) {
            count += run >= time ? 1 : 0;
        }
        return count;
    }

    /// \return how many requests of another service it has run
    int foreignRuns() const { return m_foreignRuns; }

private:
    bool answer(Connection &connection, const Message &request)
    {
        const std::string id = request.header("X-Lavendertally-Request-Id");
        const std::string expected = request.header("X-Lavendertally-Expect-Instance");
        Headers headers = {{"X-Lavendertally-Request-Id", id},
                           {"X-Lavendertally-Server-Load", "1,0,6"}};
        if (m_isLeaving) {
            headers.emplace_back("Server-Leaving", "1");
            headers.emplace_back("Connection", "close");
        }
        if (!expected.empty() && expected != m_name) {
            headers.emplace_back("X-Lavendertally-Not-Executed", "1");
            return connection.send(writeMessage("HTTP/1.1 421 Misdirected", headers, ""));
        }
        {
            const std::lock_guard lock(m_mutex);
            m_runs.push_back(nowMs());
        }
        const bool isForeign = request.target().rfind("/" + m_service + "/", 0) != 0;
        m_foreignRuns += isForeign ? 1 : 0;
        record().line(m_name + " of service " + m_service + " runs request " + id + " "
                      + request.target());
        sleepMs(15);
        headers.emplace_back("X-Lavendertally-Response-Signature", "s-" + id);
        return connection.send(writeMessage("HTTP/1.1 200 OK", headers, "done by " + m_name))
            && !m_isLeaving;
    }

    const std::string m_name;
    const std::string m_service;
    const std::int64_t m_born;
    std::atomic<bool> m_isLeaving{false};
    std::atomic<std::uint64_t> m_sequence{0};
    std::atomic<int> m_foreignRuns{0};
    std::mutex m_mutex;
    std::vector<std::int64_t> m_runs;
    Server m_server;
};

/// \return a configuration with the services `desk` and `ledger` and a public route for each
inline std::string deskConfiguration()
{
    const auto route = [](const std::string &service, const std::string &kind) {
        return "{\"name\":\"" + service + "\",\"hostname\":\"desk.example\",\"pathPrefix\":\"/"
            + service + "/\",\"service\":\"" + service + "\",\"routeKind\":\"" + kind
            + R"(","timeoutMs":2000,"priority":0,"public":true,"maxAttempts":2,
            "targetLatencyMs":100})";
    };
    const auto service = [](const std::string &name) {
        return "{\"name\":\"" + name + R"(","healthPath":"/healthz","maxConnections":51})";
    };
    return R"({"version":1,"routes":[)" + route("desk", "non_idempotent") + ","
        + route("ledger", "idempotent") + R"(],"services":[)" + service("desk") + ","
        + service("ledger") + "]}";
}

/// Workers report every `heartbeatMs`, each in its own state; an empty one says nothing.
class Heartbeats
{
public:
    Heartbeats(Store &store, std::vector<DeskWorker *> workers)
        : m_store(store), m_workers(std::move(workers))
    {
        for (DeskWorker *worker : m_workers) {
            m_states[worker] = "ready";
        }
        write();
        m_thread = std::thread([this] {
            while (!m_isDone) {
                for (std::int64_t waited = 0; !m_isDone && waited < HeartbeatMs; waited += 50) {
                    sleepMs(50);
                }
                write();
            }
        });
    }
    ~Heartbeats()
    {
        m_isDone = true;
        m_thread.join();
    }
    /// Writes the worker's entry in the new state before it returns.
    void setState(DeskWorker &worker, const std::string &state)
    {
        const std::lock_guard lock(m_mutex);
        m_states[&worker] = state;
        if (!state.empty()) {
            worker.report(m_store, state);
        }
    }

    /// Waits until all workers have just reported.
    void awaitReports()
    {
        const int before = m_rounds;
        while (m_rounds == before) {
            sleepMs(1);
        }
    }

private:
    static constexpr std::int64_t HeartbeatMs = 1200;

    void write()
    {
        const std::lock_guard lock(m_mutex);
        for (DeskWorker *worker : m_workers) {
            if (!m_states[worker].empty()) {
                worker->report(m_store, m_states[worker]);
            }
        }
        ++m_rounds;
    }

    Store &m_store;
    std::vector<DeskWorker *> m_workers;
    std::mutex m_mutex;
    std::map<DeskWorker *, std::string> m_states;
    std::atomic<int> m_rounds{0};
    std::atomic<bool> m_isDone{false};
    std::thread m_thread;
};

/// Sends one request of the service, with a new id.
inline Message request(Gateway &gateway, const std::string &service, const std::string &key = "")
{
    static std::atomic<int> number{0};
    const std::string id = "r" + std::to_string(++number);
    Headers headers = {{"X-Lavendertally-Request-Id", id},
                       {"X-Lavendertally-Deadline-Ms", "2000"}};
    if (!key.empty()) {
        headers.emplace_back("Api-Key", key);
    }
    const Message answer =
        ask(gateway.front(), "POST", "/" + service + "/1", headers, "{}", 4000);
    record().line("request " + id + " /" + service + "/1" + (key.empty() ? "" : " with " + key)
                  + " to " + gateway.name() + ": " + answer.outcome()
                  + (answer.body.empty() ? "" : ", " + answer.body));
    return answer;
}

} // namespace kit
