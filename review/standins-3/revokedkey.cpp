// A key is taken away, and later the store comes back from a copy that is older than that. A gateway
// that is restarted meanwhile, as planned, must not accept the key: the other gateways know better.

#include "kit.h"

using namespace kit;

namespace {

constexpr std::int64_t RevokeMs = 5000;
/// The operator writes again what the store has lost.
constexpr std::int64_t RewriteMs = 2000;
constexpr std::size_t Restarted = 1;
/// The store is away for a moment while front-2 shuts down.
constexpr std::int64_t DrillDelayMs = 1500;
constexpr std::int64_t DrillMs = 1000;
constexpr std::int64_t GraceMs = 8000;

std::string configuration(int version, const std::string &keys)
{
    return "{\"version\":" + std::to_string(version) + R"(,"routes":[{"name":"book",
        "hostname":"desk.example","pathPrefix":"/book/","service":"desk",
        "routeKind":"non_idempotent","timeoutMs":5000,"priority":0,"public":false,"maxAttempts":1,
        "targetLatencyMs":1000}],"services":[{"name":"desk","healthPath":"/healthz",
        "maxConnections":51}],"tenants":[{"name":"members","apiKeys":[)" + keys + "]}]}";
}

} // namespace

int main(int, char **arguments)
{
    signal(SIGPIPE, SIG_IGN);
    record().open(std::string(arguments[1]) + "/record.txt");
    const std::int64_t born = unixMs();
    std::atomic<int> runs{0};
    Server worker([&](Connection &connection, const Message &request) {
        const std::string id = request.header("X-Lavendertally-Request-Id");
        ++runs;
        record().line("worker runs request " + id + " of tenant '"
                      + request.header("X-Lavendertally-Tenant") + "'");
        return connection.send(writeMessage("HTTP/1.1 200 OK",
                                            {{"X-Lavendertally-Request-Id", id},
                                             {"X-Lavendertally-Response-Signature", "s-" + id}},
                                            "booked"));
    });
    Rig rig;
    Store &store = rig.store();
    store.put("keyed.op", "config", configuration(1, "\"key-kept\",\"key-revoked\""));
    std::atomic<std::uint64_t> sequence{0};
    const auto report = [&] {
        store.put("keyed.servers", "w1",
                  workerEntry("desk", worker.endpoint(), "ready", 6, ++sequence, born));
    };
    report();
    std::atomic<bool> isDone{false};
    std::atomic<bool> isAway{false};
    std::thread heartbeats([&] {
        while (!isDone) {
            sleepMs(600);
            if (!isAway) {
                report();
            }
        }
    });
    const auto finish = [&](int code) {
        isDone = true;
        heartbeats.join();
        return code;
    };
    rig.startGateways(3);

    int number = 0;
    int accepted = 0;
    const auto request = [&](std::size_t gateway, const std::string &key) {
        const std::string id = "r" + std::to_string(++number);
        const int before = runs;
        const Message answer =
            ask(rig.gateways()[gateway]->front(), "POST", "/book/1",
                {{"Api-Key", key},
                 {"X-Lavendertally-Request-Id", id},
                 {"X-Lavendertally-Deadline-Ms", "2000"}},
                "{}", 4000);
        record().line("request " + id + " with " + key + " to "
                      + rig.gateways()[gateway]->name() + ": " + answer.outcome());
        return runs > before;
    };
    if (!request(0, "key-revoked") || !request(Restarted, "key-kept")) {
        notRun("requests are not served before anything happens");
    }

    store.takeCopy();
    sleepMs(500);
    store.put("keyed.op", "config", configuration(2, "\"key-kept\""));
    const std::int64_t acknowledged = nowMs();
    record().line("the store has accepted version 2, which takes key-revoked away");
    sleepMs(3000);
    for (std::size_t gateway = 0; gateway < rig.gateways().size(); ++gateway) {
        if (request(gateway, "key-revoked")) {
            notRun("the key is still accepted after 3 s without any trouble");
        }
    }
    // Planned work: the platform stops the gateway and starts it again.
    std::unique_ptr<Gateway> &restarted = rig.gateways()[Restarted];
    while (nowMs() - acknowledged < RevokeMs - 1500) {
        sleepMs(10);
    }
    kill(restarted->pid(), SIGTERM);
    record().line("SIGTERM to front-2");
    sleepMs(DrillDelayMs);
    if (hasTrouble()) {
        isAway = true;
        store.setRefusing(true);
        record().line("the store is away");
        sleepMs(DrillMs);
        store.restore();
        store.setRefusing(false);
        isAway = false;
        record().line("the store is back from a copy that does not hold version 2");
    }
    const std::int64_t returned = nowMs();
    while (restarted->isRunning() && nowMs() - returned < GraceMs) {
        sleepMs(5);
    }
    restarted = std::make_unique<Gateway>(rig.folder(), "front-2", "zone-a", store.endpoint(),
                                          std::vector<std::string>{rig.gateways()[0]->control(),
                                                                   rig.gateways()[2]->control()});
    record().line("front-2 has ended and been started again");
    bool isRewritten = !hasTrouble();
    for (const std::int64_t end = nowMs() + 3000; nowMs() < end; sleepMs(100)) {
        if (!isRewritten && nowMs() - returned >= RewriteMs) {
            isRewritten = true;
            store.put("keyed.op", "config", configuration(2, "\"key-kept\""));
            record().line("the operator has written version 2 again");
        }
        for (std::size_t gateway = 0; gateway < rig.gateways().size(); ++gateway) {
            const bool isLate = nowMs() - acknowledged > RevokeMs;
            const bool hasRun = request(gateway, "key-revoked");
            accepted += isLate && hasRun ? 1 : 0;
        }
    }
    if (!request(Restarted, "key-kept")) {
        notRun("front-2 does not serve the key that is left");
    }
    record().line("requests with the key that was taken away which ran later than 5 s after the "
                  "ack: " + std::to_string(accepted));
    if (accepted > 0) {
        record().line("CONFIG: a key that was taken away is in use again");
        return finish(ExitBroken);
    }
    return finish(ExitHeld);
}
