// Another writer leaves entries that lack a field, or hold one of another type, under the ids of three
// workers. Such an entry names no worker to use, so the first one must not get requests of the service
// that its entry names, the second one, which is draining, must not get work again, and the third one
// must not get work later than drainMs after it has reported that it drains.

#include "desk.h"

using namespace kit;

namespace {

constexpr std::int64_t DrainMs = 2000;

/// \return an entry without version, sequence, coldRemainingMs and born
std::string oddEntry(const DeskWorker &worker, const std::string &service)
{
    return "{\"service\":\"" + service + "\",\"address\":\"" + worker.endpoint()
        + "\",\"zone\":\"zone-a\",\"slots\":6,\"state\":\"ready\"}";
}

/// \return an entry whose version is a number, with a higher sequence than the worker's own
std::string mistypedEntry(const DeskWorker &worker)
{
    return "{\"service\":\"desk\",\"address\":\"" + worker.endpoint()
        + "\",\"zone\":\"zone-a\",\"version\":1,\"slots\":6,\"state\":\"ready\","
          "\"coldRemainingMs\":0,\"sequence\":1000000,\"born\":"
        + std::to_string(worker.born()) + "}";
}

} // namespace

int main(int, char **arguments)
{
    signal(SIGPIPE, SIG_IGN);
    record().open(std::string(arguments[1]) + "/record.txt");
    Rig rig;
    std::vector<std::unique_ptr<DeskWorker>> workers;
    std::vector<DeskWorker *> all;
    const auto add = [&](const std::string &name, const std::string &service) -> DeskWorker & {
        workers.push_back(std::make_unique<DeskWorker>(name, service));
        all.push_back(workers.back().get());
        return *workers.back();
    };
    DeskWorker &leaving = add("d1", "desk");
    DeskWorker &ready = add("d2", "desk");
    DeskWorker &next = add("d3", "desk");
    add("d4", "desk");
    add("l1", "ledger");
    add("l2", "ledger");
    rig.store().put("keyed.op", "config", deskConfiguration());
    Heartbeats heartbeats(rig.store(), all);
    rig.startGateways(2);
    int served = 0;
    const auto load = [&](std::int64_t time) {
        for (const std::int64_t end = nowMs() + time; nowMs() < end; sleepMs(20)) {
            for (auto &gateway : rig.gateways()) {
                served += request(*gateway, "desk").status() == 200 ? 1 : 0;
                served += request(*gateway, "ledger").status() == 200 ? 1 : 0;
            }
        }
    };
    const auto foreign = [&] {
        int count = 0;
        for (const DeskWorker *worker : all) {
            count += worker->foreignRuns();
        }
        return count;
    };
    const std::int64_t started = nowMs();
    load(2000);
    if (leaving.runsSince(started) == 0 || ready.runsSince(started) == 0) {
        notRun("a worker gets no requests before anything happens");
    }
    heartbeats.setState(leaving, "draining");
    record().line("the store has accepted that d1 is draining");
    load(DrainMs + 500);
    const std::int64_t late = nowMs();
    load(500);
    if (leaving.runsSince(late) > 0 || foreign() > 0) {
        notRun("a rule is broken without any trouble");
    }
    heartbeats.awaitReports();
    if (hasTrouble()) {
        rig.store().put("keyed.servers", ready.name(), oddEntry(ready, "ledger"));
        rig.store().put("keyed.servers", leaving.name(), oddEntry(leaving, "desk"));
        rig.store().put("keyed.servers", next.name(), mistypedEntry(next));
        record().line("another writer has left entries without version, sequence, coldRemainingMs "
                      "and born: d2 of service ledger, d1 ready; and one with a number as version: "
                      "d3 ready");
    }
    served = 0;
    load(2500);
    const int lateRuns = leaving.runsSince(late);
    heartbeats.setState(next, "draining");
    record().line("the store has accepted that d3 is draining");
    load(DrainMs + 500);
    const std::int64_t nextLate = nowMs();
    load(3000);
    const int nextRuns = next.runsSince(nextLate);
    record().line("requests that a worker of another service ran: " + std::to_string(foreign())
                  + "; that ran later than drainMs after the ack of the draining, at d1: "
                  + std::to_string(lateRuns) + ", at d3: " + std::to_string(nextRuns)
                  + "; served: " + std::to_string(served));
    if (foreign() > 0) {
        record().line("ROUTE: requests are run by a service to which no configuration sent them");
    }
    if (lateRuns + nextRuns > 0) {
        record().line("DRAIN: a worker that leaves gets requests again");
    }
    if (foreign() + lateRuns + nextRuns > 0) {
        return ExitBroken;
    }
    if (served == 0) {
        notRun("no request is served");
    }
    return ExitHeld;
}
