// A worker is draining. Another writer leaves an entry under the worker's id that lacks fields. It
// names no worker to use, so the draining worker must not get work again.

#include "desk.h"

using namespace kit;

namespace {

constexpr std::int64_t DrainMs = 2000;
constexpr std::int64_t Workers = 4;

} // namespace

int main(int, char **arguments)
{
    signal(SIGPIPE, SIG_IGN);
    record().open(std::string(arguments[1]) + "/record.txt");
    Rig rig;
    std::vector<std::unique_ptr<DeskWorker>> workers;
    std::vector<DeskWorker *> all;
    for (int number = 1; number <= Workers; ++number) {
        workers.push_back(std::make_unique<DeskWorker>("w" + std::to_string(number)));
        all.push_back(workers.back().get());
    }
    DeskWorker &leaving = *workers.front();
    rig.store().put("keyed.op", "config", deskConfiguration(1, ""));
    Heartbeats heartbeats(rig.store(), all);
    rig.startGateways(2);
    const auto load = [&](std::int64_t time) {
        int served = 0;
        for (const std::int64_t end = nowMs() + time; nowMs() < end; sleepMs(20)) {
            for (auto &gateway : rig.gateways()) {
                served += book(*gateway).status() == 200 ? 1 : 0;
            }
        }
        return served;
    };
    const std::int64_t started = nowMs();
    load(2000);
    if (leaving.runsSince(started) == 0) {
        notRun("w1 gets no requests before it leaves");
    }
    heartbeats.setState(leaving, "draining");
    const std::int64_t acknowledged = nowMs();
    record().line("the store has accepted that w1 is draining");
    load(DrainMs + 500);
    const std::int64_t late = nowMs();
    load(500);
    if (leaving.runsSince(late) > 0) {
        notRun("w1 gets requests later than drainMs after the ack without any trouble");
    }
    heartbeats.setState(leaving, "draining");
    if (hasTrouble()) {
        rig.store().put("keyed.servers", leaving.name(),
                        "{\"service\":\"desk\",\"address\":\"" + leaving.endpoint()
                            + "\",\"zone\":\"zone-a\",\"slots\":6,\"state\":\"ready\"}");
        record().line("another writer has left an entry under w1 without version, sequence, born "
                      "and coldRemainingMs");
    }
    // Until the worker's next report.
    const int served = load(2500);
    const int runs = leaving.runsSince(late);
    record().line("requests that w1 ran later than " + std::to_string(late - acknowledged)
                  + " ms after the ack of its draining: " + std::to_string(runs) + ", served in all: "
                  + std::to_string(served));
    if (runs > 0) {
        record().line("DRAIN: a worker that leaves gets requests again");
        return ExitBroken;
    }
    if (served == 0) {
        notRun("no request is served");
    }
    return ExitHeld;
}
