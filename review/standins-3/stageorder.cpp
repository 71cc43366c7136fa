// A new version adds a route whose first stage needs the results of its second one, and takes a key
// away. It must be in force in time, as any other version.

#include "desk.h"

using namespace kit;

namespace {

constexpr std::int64_t RevokeMs = 5000;

std::string configuration(int version, const std::string &keys, const std::string &stages)
{
    const std::string common = R"("hostname":"desk.example","timeoutMs":2000,"priority":0,
        "public":false,"maxAttempts":1,"targetLatencyMs":1000,)";
    std::string routes = R"({"name":"book","pathPrefix":"/desk/","service":"desk",)" + common
        + R"("routeKind":"non_idempotent"})";
    if (!stages.empty()) {
        routes += R"(,{"name":"plan","pathPrefix":"/plan/","service":"desk",)" + common
            + R"("routeKind":"streaming","stages":[)" + stages + "]}";
    }
    const std::string pool = R"("pieces":{"slots":1,"queueLimit":2,"batchSize":10,"callMs":240.0,
        "itemMs":21.0,"headroomMb":12.0,"handleS":4.0,"linkMbps":10000})";
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes
        + R"(],"services":[{"name":"desk","healthPath":"/healthz","maxConnections":51},
        {"name":"encode","healthPath":"/healthz",)" + pool
        + R"(},{"name":"collect","healthPath":"/healthz",)" + pool
        + R"(}],"tenants":[{"name":"members","apiKeys":[)" + keys + "]}]}";
}

} // namespace

int main(int, char **arguments)
{
    signal(SIGPIPE, SIG_IGN);
    record().open(std::string(arguments[1]) + "/record.txt");
    Rig rig;
    DeskWorker first("w1");
    DeskWorker second("w2");
    rig.store().put("keyed.op", "config",
                    configuration(1, "\"key-kept\",\"key-revoked\"", ""));
    const Heartbeats heartbeats(rig.store(), {&first, &second});
    rig.startGateways(2);
    Gateway &one = *rig.gateways()[0];
    Gateway &other = *rig.gateways()[1];
    if (request(one, "desk", "key-revoked").status() != 200 || request(other, "desk", "key-kept").status() != 200) {
        notRun("requests are not served");
    }
    // The same two stages, numbered the other way round.
    const std::string stages = hasTrouble()
        ? R"({"service":"collect","after":[1],"bytes":8000},
             {"service":"encode","after":[],"bytes":8000})"
        : R"({"service":"encode","after":[],"bytes":8000},
             {"service":"collect","after":[0],"bytes":8000})";
    rig.store().put("keyed.op", "config", configuration(2, "\"key-kept\"", stages));
    const std::int64_t acknowledged = nowMs();
    record().line("the store has accepted version 2, which takes key-revoked away and adds a route");
    while (nowMs() - acknowledged < RevokeMs + 500) {
        sleepMs(10);
    }
    const std::int64_t late = nowMs();
    for (int round = 0; round < 10; ++round) {
        request(one, "desk", "key-revoked");
        request(other, "desk", "key-revoked");
    }
    const int runs = first.runsSince(late) + second.runsSince(late);
    record().line("requests with the key that was taken away which ran later than 5 s after the "
                  "ack: " + std::to_string(runs) + " of 20");
    if (request(one, "desk", "key-kept").status() != 200) {
        notRun("the key that is left is not served");
    }
    if (runs > 0) {
        record().line("CONFIG: a version is not in force, and a key that it took away is in use");
        return ExitBroken;
    }
    return ExitHeld;
}
