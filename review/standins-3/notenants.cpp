// The last tenant is taken out of the configuration. From then on no key is valid, and no request of
// a route that is not public may run.

#include "desk.h"

using namespace kit;

namespace {

constexpr std::int64_t RevokeMs = 5000;

} // namespace

int main(int, char **arguments)
{
    signal(SIGPIPE, SIG_IGN);
    record().open(std::string(arguments[1]) + "/record.txt");
    Rig rig;
    DeskWorker first("w1");
    DeskWorker second("w2");
    rig.store().put("keyed.op", "config",
                    deskConfiguration(1, R"([{"name":"members","apiKeys":["key-members"]}])"));
    const Heartbeats heartbeats(rig.store(), {&first, &second});
    rig.startGateways(2);
    Gateway &one = *rig.gateways()[0];
    Gateway &other = *rig.gateways()[1];
    if (book(one, "key-members").status() != 200 || book(other, "key-members").status() != 200) {
        notRun("requests with the key are not served");
    }
    if (book(one, "key-unknown").status() != 401) {
        notRun("a key that nobody holds is not refused");
    }
    // Without the trouble, the tenant stays and loses its key.
    const std::string tenants = hasTrouble() ? "[]" : R"([{"name":"members","apiKeys":[]}])";
    rig.store().put("keyed.op", "config", deskConfiguration(2, tenants));
    const std::int64_t acknowledged = nowMs();
    record().line("the store has accepted version 2 with the tenants " + tenants);
    while (nowMs() - acknowledged < RevokeMs + 500) {
        sleepMs(10);
    }
    const std::int64_t late = nowMs();
    for (int round = 0; round < 5; ++round) {
        book(one, "key-members");
        book(other, "key-members");
        book(one, "key-unknown");
        book(other, "key-unknown");
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
