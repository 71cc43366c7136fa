// A worker leaves: its answers say so, and its entry is removed. One of its heartbeats, which got no
// answer, is executed by the store some seconds later. A gateway that has passed on an answer of the
// worker that says that it leaves must not send it requests again.

#include "desk.h"

using namespace kit;

namespace {

constexpr int Gateways = 5;
constexpr int Workers = 4;
constexpr std::int64_t DrainMs = 2000;
/// From the time at which the worker begins to leave.
constexpr std::int64_t RemovedAfterMs = 500;
constexpr std::int64_t LateWriteAfterMs = 4500;
constexpr std::int64_t SilentAfterMs = LateWriteAfterMs + 3 * 1200;
constexpr std::int64_t ExitsAfterMs = 9000;
/// 12.6 bookings a second over all machines, as on the site.
constexpr std::int64_t RequestIntervalMs = 79;

/// What the requesters have seen, by gateway and worker.
struct Seen
{
    std::mutex mutex;
    std::map<std::pair<int, std::string>, std::int64_t> saidLeaving;
    int late = 0;
    int served = 0;
};

} // namespace

int main(int, char **arguments)
{
    signal(SIGPIPE, SIG_IGN);
    record().open(std::string(arguments[1]) + "/record.txt");
    Rig rig;
    Store &store = rig.store();
    store.put("keyed.op", "config", deskConfiguration());
    std::vector<std::unique_ptr<DeskWorker>> workers;
    std::vector<DeskWorker *> all;
    const auto add = [&](int number) {
        workers.push_back(std::make_unique<DeskWorker>("w" + std::to_string(number)));
        all.push_back(workers.back().get());
    };
    for (int number = 1; number <= 2 * Workers; ++number) {
        add(number);
    }
    Heartbeats heartbeats(store, all);
    // The second half starts later, each when another worker leaves.
    for (int index = Workers; index < 2 * Workers; ++index) {
        heartbeats.setState(*all[static_cast<std::size_t>(index)], "");
        store.remove("keyed.servers", all[static_cast<std::size_t>(index)]->name());
    }
    rig.startGateways(Gateways);
    sleepMs(2000);

    Seen seen;
    std::atomic<bool> isDone{false};
    std::atomic<int> open{0};
    std::thread load([&] {
        for (int number = 0; !isDone; ++number, sleepMs(RequestIntervalMs)) {
            ++open;
            std::thread([&, gateway = number % Gateways] {
                const std::int64_t sent = nowMs();
                const Message answer =
                    request(*rig.gateways()[static_cast<std::size_t>(gateway)], "desk");
                const std::string by = answer.body.substr(std::min<std::size_t>(8, answer.body.size()));
                const std::lock_guard lock(seen.mutex);
                seen.served += answer.status() == 200 ? 1 : 0;
                if (answer.status() == 200 && !answer.header("Server-Leaving").empty()) {
                    const auto [said, isFirst] =
                        seen.saidLeaving.try_emplace({gateway, by}, nowMs());
                    if (!isFirst && sent > said->second + DrainMs) {
                        ++seen.late;
                        record().line("the request before was sent "
                                      + std::to_string(sent - said->second) + " ms after front-"
                                      + std::to_string(gateway + 1)
                                      + " had passed on that " + by + " leaves");
                    }
                }
                --open;
            }).detach();
        }
    });
    for (int round = 0; round < Workers; ++round) {
        DeskWorker &leaving = *all[static_cast<std::size_t>(round)];
        DeskWorker &next = *all[static_cast<std::size_t>(round + Workers)];
        heartbeats.setState(next, "ready");
        heartbeats.setState(leaving, "");
        const std::int64_t began = nowMs();
        const auto until = [&](std::int64_t time) {
            while (nowMs() - began < time) {
                sleepMs(5);
            }
        };
        leaving.setLeaving();
        record().line(leaving.name() + " leaves and says so in its answers, " + next.name()
                      + " takes its place");
        until(RemovedAfterMs);
        store.remove("keyed.servers", leaving.name());
        record().line("the entry of " + leaving.name() + " is removed");
        until(LateWriteAfterMs);
        if (hasTrouble()) {
            leaving.report(store, "ready");
            record().line("the store executes the last heartbeat of " + leaving.name()
                          + ", which it had not answered");
        }
        until(SilentAfterMs);
        store.remove("keyed.servers", leaving.name());
        until(ExitsAfterMs);
        leaving.exit();
        record().line(leaving.name() + " has ended");
    }
    isDone = true;
    load.join();
    while (open > 0) {
        sleepMs(10);
    }
    record().line("gateways that passed on that a worker leaves: "
                  + std::to_string(seen.saidLeaving.size()) + " times; requests that they sent it "
                  "later than drainMs after that: " + std::to_string(seen.late) + "; served: "
                  + std::to_string(seen.served));
    if (seen.late > 0) {
        record().line("DRAIN: a worker that has said that it leaves gets requests again");
        return ExitBroken;
    }
    if (seen.saidLeaving.empty()) {
        notRun("no gateway passed on that a worker leaves");
    }
    return ExitHeld;
}
