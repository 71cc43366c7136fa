// Another writer leaves entries that lack fields under the ids of two workers: one that is ready, and
// one that is draining. Such an entry names no worker to use, so the first must not get requests of
// the service that the entry names, and the second must not get work again.

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
    add("d3", "desk");
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
        record().line("another writer has left entries without version, sequence, coldRemainingMs "
                      "and born: d2 of service ledger, d1 ready");
    }
    served = 0;
    load(2500);
    const int lateRuns = leaving.runsSince(late);
    record().line("requests that a worker of another service ran: " + std::to_string(foreign())
                  + ", that d1 ran later than drainMs after the ack of its draining: "
                  + std::to_string(lateRuns) + ", served: " + std::to_string(served));
    if (foreign() > 0) {
        record().line("ROUTE: requests are run by a service to which no configuration sent them");
    }
    if (lateRuns > 0) {
        record().line("DRAIN: a worker that leaves gets requests again");
    }
    if (foreign() + lateRuns > 0) {
        return ExitBroken;
    }
    if (served == 0) {
        notRun("no request is served");
    }
    return ExitHeld;
}
