// Workers fail a part of the bookings that they have run, with status 408. To a requester that status
// promises that the request has not run, so it may book again.

#include "kit.h"

using namespace kit;

namespace {

constexpr int Workers = 4;
constexpr int Bookings = 40;
/// The first worker fails this many of its requests in ten.
constexpr int FailedInTen = 4;

} // namespace

int main(int, char **arguments)
{
    signal(SIGPIPE, SIG_IGN);
    record().open(std::string(arguments[1]) + "/record.txt");
    std::mutex mutex;
    std::set<std::string> hasRun;
    int atGreyWorker = 0;
    std::vector<std::unique_ptr<Server>> workers;
    Rig rig;
    rig.store().put("keyed.op", "config", R"({"version":1,"routes":[{"name":"book",
        "hostname":"desk.example","pathPrefix":"/book/","service":"desk",
        "routeKind":"non_idempotent","timeoutMs":2000,"priority":0,"public":true,"maxAttempts":1,
        "targetLatencyMs":100}],"services":[{"name":"desk","healthPath":"/healthz",
        "maxConnections":51}]})");
    for (int number = 0; number < Workers; ++number) {
        workers.push_back(std::make_unique<Server>([&, number](Connection &connection,
                                                               const Message &request) {
            const std::string id = request.header("X-Lavendertally-Request-Id");
            bool fails = false;
            {
                const std::lock_guard lock(mutex);
                hasRun.insert(id);
                fails = hasTrouble() && number == 0 && atGreyWorker++ % 10 < FailedInTen;
            }
            record().line("w" + std::to_string(number + 1) + " runs request " + id
                          + (fails ? " and fails" : ""));
            sleepMs(15);
            return connection.send(
                writeMessage(fails ? "HTTP/1.1 408 Request Timeout" : "HTTP/1.1 200 OK",
                             {{"X-Lavendertally-Request-Id", id},
                              {"X-Lavendertally-Response-Signature", "s-" + id},
                              {"X-Lavendertally-Server-Load", "1,0,6"}},
                             fails ? "failed" : "booked"));
        }));
        rig.store().put("keyed.servers", "w" + std::to_string(number + 1),
                        workerEntry("desk", workers.back()->endpoint(), "ready", 6, 1, unixMs()));
    }
    rig.startGateways(2);
    int promised = 0;
    int served = 0;
    for (int number = 1; number <= Bookings; ++number) {
        const std::string id = "r" + std::to_string(number);
        const Message answer =
            ask(rig.gateways()[static_cast<std::size_t>(number % 2)]->front(), "POST", "/book/1",
                {{"X-Lavendertally-Request-Id", id}, {"X-Lavendertally-Deadline-Ms", "2000"}},
                "{}", 4000);
        const std::lock_guard lock(mutex);
        const int status = answer.status();
        const bool isPromise = status == 408 || status == 421 || status == 429 || status == 503;
        const bool isBroken = isPromise && hasRun.count(id) > 0;
        record().line("request " + id + ": " + answer.outcome()
                      + (isBroken ? ", which says that it has not run" : ""));
        promised += isBroken ? 1 : 0;
        served += status == 200 ? 1 : 0;
    }
    record().line("served: " + std::to_string(served) + ", refused as not run though they had run: "
                  + std::to_string(promised));
    if (promised > 0) {
        record().line("REFUSED: a request that isn't idempotent is answered 408 and has run");
        return ExitBroken;
    }
    if (served < Bookings / 2) {
        notRun("too few requests are served");
    }
    return ExitHeld;
}
