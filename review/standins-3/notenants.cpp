// The last tenant is taken out of the configuration. From then on no key is valid, and no request of
// a route that is not public may run.

#include "desk.h"

using namespace kit;

namespace {

constexpr std::int64_t RevokeMs = 5000;

std::string configuration(int version, const std::string &tenants)
{
    return "{\"version\":" + std::to_string(version) + R"(,"routes":[{"name":"desk",
        "hostname":"desk.example","pathPrefix":"/desk/","service":"desk",
        "routeKind":"non_idempotent","timeoutMs":2000,"priority":0,"public":false,"maxAttempts":1,
        "targetLatencyMs":100}],"services":[{"name":"desk","healthPath":"/healthz",
        "maxConnections":51}],"tenants":)" + tenants + "}";
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
                    configuration(1, R"([{"name":"members","apiKeys":["key-members"]}])"));
    const Heartbeats heartbeats(rig.store(), {&first, &second});
    rig.startGateways(2);
    Gateway &one = *rig.gateways()[0];
    Gateway &other = *rig.gateways()[1];
    if (request(one, "desk", "key-members").status() != 200 || request(other, "desk", "key-members").status() != 200) {
        notRun("requests with the key are not served");
    }
    if (request(one, "desk", "key-unknown").status() != 401) {
        notRun("a key that nobody holds is not refused");
    }
    // Without the trouble, the tenant stays and loses its key.
    const std::string tenants = hasTrouble() ? "[]" : R"([{"name":"members","apiKeys":[]}])";
    rig.store().put("keyed.op", "config", configuration(2, tenants));
    const std::int64_t acknowledged = nowMs();
    record().line("the store has accepted version 2 with the tenants " + tenants);
    while (nowMs() - acknowledged < RevokeMs + 500) {
        sleepMs(10);
    }
    const std::int64_t late = nowMs();
    for (int round = 0; round < 5; ++round) {
        request(one, "desk", "key-members");
        request(other, "desk", "key-members");
        request(one, "desk", "key-unknown");
        request(other, "desk", "key-unknown");
    }
    const int runs = first.runsSince(late) + second.runsSince(late);
    record().line("requests that ran later than 5 s after the ack, with a key that was taken away "
                  "or that nobody ever held: " + std::to_string(runs) + " of 20");
    if (runs > 0) {
        record().line("CONFIG, ROUTE: requests run though no key is valid");
        return ExitBroken;
    }
    return ExitHeld;
}
