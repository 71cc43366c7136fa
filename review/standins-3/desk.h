#pragma once

// A small deployment of one service for bookings: workers in this process, which count what they
// run, and their entries in the store.

#include "kit.h"

namespace kit {

/// A worker of the service `desk`.
class DeskWorker
{
public:
    explicit DeskWorker(std::string name)
        : m_name(std::move(name)), m_born(unixMs()),
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
                  workerEntry("desk", endpoint(), state, 6, ++m_sequence, m_born));
    }
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

private:
    bool answer(Connection &connection, const Message &request)
    {
        const std::string id = request.header("X-Lavendertally-Request-Id");
        const std::string expected = request.header("X-Lavendertally-Expect-Instance");
        Headers headers = {{"X-Lavendertally-Request-Id", id},
                           {"X-Lavendertally-Server-Load", "1,0,6"}};
        if (m_isLeaving) {
            headers.emplace_back("Server-Leaving", "1");
        }
        if (!expected.empty() && expected != m_name) {
            headers.emplace_back("X-Lavendertally-Not-Executed", "1");
            return connection.send(writeMessage("HTTP/1.1 421 Misdirected", headers, ""));
        }
        {
            const std::lock_guard lock(m_mutex);
            m_runs.push_back(nowMs());
        }
        record().line(m_name + " runs request " + id);
        sleepMs(15);
        headers.emplace_back("X-Lavendertally-Response-Signature", "s-" + id);
        return connection.send(writeMessage("HTTP/1.1 200 OK", headers, "booked by " + m_name));
    }

    const std::string m_name;
    const std::int64_t m_born;
    std::atomic<bool> m_isLeaving{false};
    std::atomic<std::uint64_t> m_sequence{0};
    std::mutex m_mutex;
    std::vector<std::int64_t> m_runs;
    Server m_server;
};

/// \param tenants JSON, or empty if the configuration has none
inline std::string deskConfiguration(int version, const std::string &tenants)
{
    return "{\"version\":" + std::to_string(version) + R"(,"routes":[{"name":"book",
        "hostname":"desk.example","pathPrefix":"/book/","service":"desk",
        "routeKind":"non_idempotent","timeoutMs":2000,"priority":0,"public":)"
        + (tenants.empty() ? "true" : "false")
        + R"(,"maxAttempts":2,"targetLatencyMs":100}],"services":[{"name":"desk",
        "healthPath":"/healthz","maxConnections":51}])"
        + (tenants.empty() ? "" : ",\"tenants\":" + tenants) + "}";
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
    }

    Store &m_store;
    std::vector<DeskWorker *> m_workers;
    std::mutex m_mutex;
    std::map<DeskWorker *, std::string> m_states;
    std::atomic<bool> m_isDone{false};
    std::thread m_thread;
};

/// Sends one booking, with a new id.
inline Message book(Gateway &gateway, const std::string &key = "")
{
    static std::atomic<int> number{0};
    const std::string id = "r" + std::to_string(++number);
    Headers headers = {{"X-Lavendertally-Request-Id", id},
                       {"X-Lavendertally-Deadline-Ms", "2000"}};
    if (!key.empty()) {
        headers.emplace_back("Api-Key", key);
    }
    const Message answer = ask(gateway.front(), "POST", "/book/1", headers, "{}", 4000);
    record().line("request " + id + (key.empty() ? "" : " with " + key) + " to " + gateway.name()
                  + ": " + answer.outcome());
    return answer;
}

} // namespace kit
