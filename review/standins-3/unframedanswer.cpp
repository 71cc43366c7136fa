// A worker that leaves is killed in the middle of an answer that has no length and ends with its
// connection. The requester must not get half of the body as a whole answer.

#include "kit.h"

using namespace kit;

namespace {

constexpr int Workers = 6;
constexpr int Requests = 24;
constexpr int SlowRequestMs = 2500;
const std::string Half(2000, 'a');
const std::string Rest(2000, 'b');

/// Writes half of the answer at once and the rest when the work is done, without a length, and then
/// closes the connection.
bool answer(Connection &connection, const Message &request)
{
    const std::string id = request.header("X-Lavendertally-Request-Id");
    connection.send(writeMessage("HTTP/1.1 200 OK",
                                 {{"X-Lavendertally-Request-Id", id},
                                  {"X-Lavendertally-Response-Signature", "s-" + id},
                                  {"Connection", "close"}},
                                 Half, false));
    sleepMs(request.target().find("slow") != std::string::npos ? SlowRequestMs : 100);
    connection.send(Rest);
    return false;
}

/// Starts a worker in a process of its own.
pid_t startWorker(int port)
{
    const pid_t pid = fork();
    if (pid != 0) {
        children().insert(pid);
        return pid;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    signal(SIGPIPE, SIG_IGN);
    Server server(answer, port);
    while (true) {
        sleepMs(1000);
    }
}

} // namespace

int main(int, char **arguments)
{
    signal(SIGPIPE, SIG_IGN);
    record().open(std::string(arguments[1]) + "/record.txt");
    const int port = freePort();
    const pid_t worker = startWorker(port);
    const std::string endpoint = "127.0.0.1:" + std::to_string(port);
    const std::int64_t born = unixMs();
    int exitCode = ExitHeld;
    {
        std::vector<std::unique_ptr<Server>> others;
        Rig rig;
        rig.store().put("keyed.op", "config", R"({"version":1,"routes":[{"name":"history",
            "hostname":"desk.example","pathPrefix":"/history/","service":"desk",
            "routeKind":"idempotent","timeoutMs":8000,"priority":0,"public":true,"maxAttempts":1,
            "targetLatencyMs":3000}],"services":[{"name":"desk","healthPath":"/healthz",
            "maxConnections":280}]})");
        rig.store().put("keyed.servers", "w1", workerEntry("desk", endpoint, "ready", 6, 1, born));
        for (int number = 2; number <= Workers; ++number) {
            others.push_back(std::make_unique<Server>(answer));
            rig.store().put("keyed.servers", "w" + std::to_string(number),
                            workerEntry("desk", others.back()->endpoint(), "ready", 6, 1, born));
        }
        rig.startGateways(2);
        sleepMs(3000);

        const auto request = [&](int number, const std::string &path) {
            const std::string id = "r" + std::to_string(number);
            const Message answer =
                ask(rig.gateways()[static_cast<std::size_t>(number % 2)]->front(), "GET", path,
                    {{"X-Lavendertally-Request-Id", id}, {"X-Lavendertally-Deadline-Ms", "8000"}},
                    "", 10000);
            record().line("request " + id + " " + path + ": " + answer.outcome() + ", "
                          + std::to_string(answer.body.size()) + " bytes, signature '"
                          + answer.header("X-Lavendertally-Response-Signature") + "'");
            return answer;
        };
        const Message first = request(0, "/history/1");
        if (first.status() != 200 || first.body != Half + Rest) {
            notRun("an undisturbed answer is not whole");
        }
        std::mutex mutex;
        int whole = 0;
        int cut = 0;
        std::vector<std::thread> requesters;
        for (int number = 1; number <= Requests; ++number) {
            requesters.emplace_back([&, number] {
                const Message answer = request(number, "/history/slow");
                const std::lock_guard lock(mutex);
                whole += answer.status() == 200 && answer.body == Half + Rest ? 1 : 0;
                cut += answer.status() == 200 && answer.body != Half + Rest ? 1 : 0;
            });
        }
        sleepMs(100);
        rig.store().put("keyed.servers", "w1",
                        workerEntry("desk", endpoint, "draining", 6, 2, born));
        record().line("the store has accepted that worker w1 is draining");
        sleepMs(1500);
        if (hasTrouble()) {
            kill(worker, SIGKILL);
            record().line("worker w1 killed while it answers");
        }
        for (std::thread &requester : requesters) {
            requester.join();
        }
        record().line("successes with the whole body: " + std::to_string(whole)
                      + ", with a part of it: " + std::to_string(cut));
        if (cut > 0) {
            record().line("MIXED: a success has a body that is not the worker's whole body");
            exitCode = ExitBroken;
        } else if (!hasTrouble() && whole == 0) {
            notRun("no slow request was served");
        }
    }
    kill(worker, SIGKILL);
    waitpid(worker, nullptr, 0);
    return exitCode;
}
