#pragma once

// Stand-ins of the platform's store, of workers and of requesters, and the start of the gateways,
// for the scripts in review/11 to review/15. All of them use loopback addresses and free ports.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace kit {

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitNotRun = 2;

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::int64_t nowMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

inline std::int64_t unixMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(std::int64_t time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

/// Writes record.txt, with the time since the start of the script.
class Record
{
public:
    void open(const std::string &file) { m_file.open(file, std::ios::trunc); }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f  ", static_cast<double>(nowMs() - m_start) / 1000.0);
        m_file << time << text << std::endl;
    }

private:
    const std::int64_t m_start = nowMs();
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline Record &record()
{
    static Record instance;
    return instance;
}

[[noreturn]] inline void notRun(const std::string &reason);

/// The folder of this run, for its settings and logs.
inline std::string &workFolder()
{
    static std::string instance;
    return instance;
}

inline void removeWorkFolder()
{
    if (!workFolder().empty() && std::getenv("KEEP_LOGS") == nullptr) {
        [[maybe_unused]] const int result = std::system(("rm -rf " + workFolder()).c_str());
    }
}

/// Processes that were started and not waited for.
inline std::set<pid_t> &children()
{
    static std::set<pid_t> instance;
    return instance;
}

/// A message of HTTP/1.1: a request or an answer.
struct Message
{
    std::string start;
    Headers headers;
    std::string body;
    /// The connection ended before the message was whole, or without one.
    bool isBroken = true;
    bool wasReset = false;

    std::string header(const std::string &name) const
    {
        for (const auto &[each, value] : headers) {
            if (strcasecmp(each.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const
    {
        const std::size_t begin = start.find(' ') + 1;
        return start.substr(begin, start.find(' ', begin) - begin);
    }
    int status() const
    {
        return isBroken || start.size() < 12 ? 0 : std::atoi(start.c_str() + 9);
    }
    /// \return what a requester saw, in short
    std::string outcome() const
    {
        if (!isBroken) {
            return std::to_string(status());
        }
        return wasReset ? "reset" : "closed";
    }
};

inline sockaddr_in address(int port)
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, "127.0.0.1", &target.sin_addr);
    return target;
}

inline int listenOn(int port, int backlog = 256)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in own = address(port);
    if (bind(fd, reinterpret_cast<sockaddr *>(&own), sizeof own) != 0 || listen(fd, backlog) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

inline int portOf(int fd)
{
    sockaddr_in own{};
    socklen_t size = sizeof own;
    getsockname(fd, reinterpret_cast<sockaddr *>(&own), &size);
    return ntohs(own.sin_port);
}

inline int freePort()
{
    const int fd = listenOn(0);
    const int port = portOf(fd);
    close(fd);
    return port;
}

/// A connection with blocking calls.
class Connection
{
public:
    explicit Connection(int fd) : m_fd(fd)
    {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection() { closeNow(); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static std::unique_ptr<Connection> open(int port)
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in target = address(port);
        if (connect(fd, reinterpret_cast<sockaddr *>(&target), sizeof target) != 0) {
            close(fd);
            return nullptr;
        }
        return std::make_unique<Connection>(fd);
    }
    bool send(const std::string &bytes)
    {
        std::size_t done = 0;
        while (done < bytes.size()) {
            const ssize_t sent =
                ::send(m_fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            done += static_cast<std::size_t>(sent);
        }
        return true;
    }
    /// \param deadline time in nowMs() until which to wait
    bool fill(std::int64_t deadline)
    {
        pollfd state{m_fd, POLLIN, 0};
        const std::int64_t left = deadline - nowMs();
        if (left <= 0 || poll(&state, 1, static_cast<int>(left)) <= 0) {
            m_timedOut = true;
            return false;
        }
        char bytes[16384];
        const ssize_t got = recv(m_fd, bytes, sizeof bytes, 0);
        if (got <= 0) {
            m_wasReset = got < 0;
            return false;
        }
        m_input.append(bytes, static_cast<std::size_t>(got));
        return true;
    }
    bool timedOut() const { return m_timedOut; }
    /// Reads the next message.
    Message read(std::int64_t timeout)
    {
        const std::int64_t deadline = nowMs() + timeout;
        Message message;
        std::size_t end = 0;
        while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(deadline)) {
                message.wasReset = m_wasReset;
                return message;
            }
        }
        std::string head = m_input.substr(0, end + 2);
        m_input.erase(0, end + 4);
        std::size_t line = head.find("\r\n");
        message.start = head.substr(0, line);
        for (std::size_t begin = line + 2; begin < head.size();) {
            line = head.find("\r\n", begin);
            const std::string field = head.substr(begin, line - begin);
            const std::size_t colon = field.find(':');
            std::size_t value = colon + 1;
            while (value < field.size() && field[value] == ' ') {
                ++value;
            }
            message.headers.emplace_back(field.substr(0, colon), field.substr(value));
            begin = line + 2;
        }
        message.isBroken = !readBody(message, deadline);
        message.wasReset = m_wasReset;
        return message;
    }
    void closeNow()
    {
        if (m_fd >= 0) {
            close(m_fd);
            m_fd = -1;
        }
    }
    void reset()
    {
        const linger atOnce{1, 0};
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
        closeNow();
    }
    void shutDown() { ::shutdown(m_fd, SHUT_RDWR); }

private:
    bool need(std::size_t size, std::int64_t deadline)
    {
        while (m_input.size() < size) {
            if (!fill(deadline)) {
                return false;
            }
        }
        return true;
    }
    bool readBody(Message &message, std::int64_t deadline)
    {
        const std::string length = message.header("Content-Length");
        if (!length.empty()) {
            const auto size = static_cast<std::size_t>(std::atoll(length.c_str()));
            const bool whole = need(size, deadline);
            message.body = m_input.substr(0, size);
            m_input.erase(0, message.body.size());
            return whole;
        }
        if (strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0) {
            while (true) {
                std::size_t end = 0;
                while ((end = m_input.find("\r\n")) == std::string::npos) {
                    if (!fill(deadline)) {
                        return false;
                    }
                }
                const std::size_t size = std::strtoul(m_input.c_str(), nullptr, 16);
                m_input.erase(0, end + 2);
                if (!need(size + 2, deadline)) {
                    return false;
                }
                message.body += m_input.substr(0, size);
                m_input.erase(0, size + 2);
                if (size == 0) {
                    return true;
                }
            }
        }
        // Neither gateways nor requesters end a message with its connection here.
        return true;
    }

    int m_fd;
    std::string m_input;
    bool m_wasReset = false;
    bool m_timedOut = false;
};

inline std::string writeMessage(const std::string &start, const Headers &headers,
                                const std::string &body, bool hasLength = true)
{
    std::string text = start + "\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    if (hasLength) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

/// Serves connections, a thread each.
class Server
{
public:
    /// Handles a request; returns false to end the connection.
    using Handler = std::function<bool(Connection &, const Message &)>;

    explicit Server(Handler handler, int port = 0)
        : m_handler(std::move(handler)), m_fd(listenOn(port)), m_port(portOf(m_fd))
    {
        m_thread = std::thread([this] { accept(); });
    }
    ~Server() { stop(); }
    int port() const { return m_port; }
    std::string endpoint() const { return "127.0.0.1:" + std::to_string(m_port); }
    /// Stops listening and resets all connections, as a process that is killed does.
    void stop()
    {
        if (m_stopped.exchange(true)) {
            return;
        }
        ::shutdown(m_fd, SHUT_RDWR);
        m_thread.join();
        close(m_fd);
        {
            const std::lock_guard lock(m_mutex);
            for (Connection *connection : m_open) {
                connection->shutDown();
            }
        }
        while (m_running > 0) {
            sleepMs(1);
        }
    }

private:
    void accept()
    {
        while (!m_stopped) {
            const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (m_stopped) {
                    return;
                }
                continue;
            }
            ++m_running;
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }
    void serve(int fd)
    {
        Connection connection(fd);
        {
            const std::lock_guard lock(m_mutex);
            m_open.insert(&connection);
        }
        constexpr std::int64_t IdleTime = 120000;
        while (!m_stopped) {
            const Message message = connection.read(IdleTime);
            if (message.isBroken || !m_handler(connection, message)) {
                break;
            }
        }
        {
            const std::lock_guard lock(m_mutex);
            m_open.erase(&connection);
        }
        connection.closeNow();
        --m_running;
    }

    Handler m_handler;
    int m_fd;
    int m_port;
    std::atomic<bool> m_stopped{false};
    std::atomic<int> m_running{0};
    std::mutex m_mutex;
    std::set<Connection *> m_open;
    std::thread m_thread;
};

inline std::string base64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - index);
        for (std::size_t part = 0; part < 3; ++part) {
            group = (group << 8)
                | (part < count ? static_cast<unsigned char>(bytes[index + part]) : 0u);
        }
        for (std::size_t part = 0; part < 4; ++part) {
            text += part <= count ? digits[(group >> (18 - 6 * part)) & 63] : '=';
        }
    }
    return text;
}

/// The platform's store: topics with one partition, kept in memory. It loses nothing.
class Store
{
public:
    Store() : m_server([this](Connection &connection, const Message &request) {
                  return handle(connection, request);
              })
    { }
    std::string endpoint() const { return m_server.endpoint(); }
    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        append(topic, {key, value});
    }
    void remove(const std::string &topic, const std::string &key) { put(topic, key, ""); }
    /// While it refuses, calls get 503.
    void setRefusing(bool refuses) { m_refuses = refuses; }
    /// Takes the copy from which restore() brings the store back.
    void takeCopy()
    {
        const std::lock_guard lock(m_mutex);
        m_copy = m_topics;
    }
    /// Loses what was written since the copy was taken; the era rises by one.
    void restore()
    {
        const std::lock_guard lock(m_mutex);
        for (auto &[name, topic] : m_topics) {
            topic = m_copy[name];
        }
        ++m_era;
        m_changed.notify_all();
    }

private:
    struct Entry
    {
        std::string key;
        std::string value;
    };
    struct Topic
    {
        std::vector<Entry> records;
        std::map<std::string, std::size_t> newest;
    };

    void append(const std::string &topic, Entry entry)
    {
        Topic &target = m_topics[topic];
        if (entry.value.empty()) {
            target.newest.erase(entry.key);
        } else {
            target.newest[entry.key] = target.records.size();
        }
        target.records.push_back(std::move(entry));
        m_changed.notify_all();
    }
    static std::string bigEndian(std::uint64_t number, int size)
    {
        std::string bytes;
        for (int index = size - 1; index >= 0; --index) {
            bytes += static_cast<char>((number >> (8 * index)) & 0xff);
        }
        return bytes;
    }
    static std::string query(const std::string &target, const std::string &name)
    {
        const std::size_t mark = target.find('?');
        std::string rest = mark == std::string::npos ? "" : "&" + target.substr(mark + 1);
        const std::size_t begin = rest.find("&" + name + "=");
        if (begin == std::string::npos) {
            return {};
        }
        const std::size_t value = begin + name.size() + 2;
        return rest.substr(value, rest.find('&', value) - value);
    }
    bool reply(Connection &connection, int status, const std::string &body)
    {
        return connection.send(
            writeMessage("HTTP/1.1 " + std::to_string(status) + " -",
                         {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(m_era)}}, body));
    }
    bool handle(Connection &connection, const Message &request)
    {
        if (m_refuses) {
            return reply(connection, 503, "{}");
        }
        const std::string target = request.target();
        const std::string path = target.substr(0, target.find('?'));
        const std::string topic = query(target, "topic");
        std::unique_lock lock(m_mutex);
        const auto place = m_topics.try_emplace(topic).first;
        Topic &source = place->second;
        if (path == "/log-append") {
            const std::string at = query(target, "at");
            const std::size_t end = source.records.size();
            if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != end) {
                return reply(connection, 412, "{\"endOffset\":" + std::to_string(end) + "}");
            }
            const std::string &bytes = request.body;
            for (std::size_t next = 0; next + 4 < bytes.size();) {
                std::size_t length = 0;
                for (std::size_t index = 0; index < 4; ++index) {
                    length = (length << 8) | static_cast<unsigned char>(bytes[next + index]);
                }
                const std::string content = bytes.substr(next + 4, length);
                const std::size_t keySize = static_cast<unsigned char>(content[0]);
                append(topic, {content.substr(1, keySize), content.substr(1 + keySize)});
                next += 4 + length;
            }
            return reply(connection, 200,
                         "{\"offset\":" + std::to_string(end)
                             + ",\"endOffset\":" + std::to_string(source.records.size()) + "}");
        }
        if (path == "/log-newest") {
            std::string items;
            for (const auto &[key, offset] : source.newest) {
                items += (items.empty() ? "" : ",") + std::string("{\"key\":\"") + key
                    + "\",\"value\":\"" + base64(source.records[offset].value)
                    + "\",\"offset\":" + std::to_string(offset) + "}";
            }
            return reply(connection, 200,
                         "{\"items\":[" + items + "],\"hasMore\":false,\"endOffset\":"
                             + std::to_string(source.records.size()) + "}");
        }
        if (path != "/log-read") {
            return reply(connection, 404, "{}");
        }
        const std::size_t from = std::strtoull(query(target, "from").c_str(), nullptr, 10);
        const std::int64_t wait = std::atoll(query(target, "waitMs").c_str());
        if (from > source.records.size()) {
            return reply(connection, 410, "{\"firstOffset\":0}");
        }
        const int era = m_era;
        m_changed.wait_for(lock, std::chrono::milliseconds(wait),
                           [&] { return era != m_era || source.records.size() > from; });
        if (from > source.records.size()) {
            return reply(connection, 410, "{\"firstOffset\":0}");
        }
        std::string body = bigEndian(source.records.size(), 8) + bigEndian(0, 8);
        for (std::size_t index = from; index < source.records.size(); ++index) {
            const Entry &entry = source.records[index];
            const std::string content =
                static_cast<char>(entry.key.size()) + entry.key + entry.value;
            body += bigEndian(content.size(), 4) + content;
        }
        lock.unlock();
        return reply(connection, 200, body);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Topic> m_topics;
    std::map<std::string, Topic> m_copy;
    std::atomic<int> m_era{1};
    std::atomic<bool> m_refuses{false};
    Server m_server;
};

/// A process of the system, started with the command of the deploy file.
class Gateway
{
public:
    Gateway(const std::string &folder, const std::string &name, const std::string &zone,
            const std::string &store, const std::vector<std::string> &seeds)
        : m_name(name), m_front(freePort()), m_ready(freePort()), m_control(freePort())
    {
        const std::string file = folder + "/" + name + ".yaml";
        std::ofstream settings(file);
        const auto endpoint = [](int port) { return "127.0.0.1:" + std::to_string(port); };
        settings << "role: gateway\nid: " << name << "\nhost: " << name
                 << "\navailability_zone: " << zone << "\nlisten: " << endpoint(m_front)
                 << "\nready_listen: " << endpoint(m_ready)
                 << "\ncontrol_listen: " << endpoint(m_control)
                 << "\nmetrics_listen: " << endpoint(freePort()) << "\nstore: " << store
                 << "\nseed_peers: [";
        for (std::size_t index = 0; index < seeds.size(); ++index) {
            settings << (index > 0 ? "," : "") << '"' << seeds[index] << '"';
        }
        settings << "]\nrevocation_limit: 5000ms\nshutdown_grace: 8s\nshared_retries: 56\n"
                    "processor_share: 0.19\nmemory_limit: 260MB\ndescriptor_limit: 4100\n"
                    "log_format: json\n";
        settings.close();
        m_pid = fork();
        if (m_pid == 0) {
            // A script that is stopped from outside leaves no process behind.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = open((folder + "/" + name + ".log").c_str(),
                                 O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            setenv("LAVENDERTALLY_CONFIG", file.c_str(), 1);
            execl("target/lavendertallyd", "target/lavendertallyd", static_cast<char *>(nullptr));
            _exit(127);
        }
        children().insert(m_pid);
    }
    ~Gateway()
    {
        if (isRunning()) {
            kill(m_pid, SIGKILL);
            waitpid(m_pid, nullptr, 0);
            children().erase(m_pid);
        }
    }
    const std::string &name() const { return m_name; }
    int front() const { return m_front; }
    std::string control() const { return "127.0.0.1:" + std::to_string(m_control); }
    pid_t pid() const { return m_pid; }
    /// \return whether the process has not ended by itself
    bool isRunning()
    {
        if (m_hasEnded) {
            return false;
        }
        int status = 0;
        if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_hasEnded = true;
            children().erase(m_pid);
            m_end = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                        : "exit code " + std::to_string(WEXITSTATUS(status));
        }
        return !m_hasEnded;
    }
    const std::string &end() const { return m_end; }
    bool isReady() const
    {
        const auto connection = Connection::open(m_ready);
        if (!connection) {
            return false;
        }
        connection->send("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
        return connection->read(1000).status() == 200;
    }

private:
    std::string m_name;
    int m_front;
    int m_ready;
    int m_control;
    pid_t m_pid = -1;
    bool m_hasEnded = false;
    std::string m_end;
};

/// What each script needs: a store, gateways and a folder of its own.
class Rig
{
public:
    Rig()
    {
        char folder[] = "/tmp/review-XXXXXX";
        m_folder = mkdtemp(folder);
        workFolder() = m_folder;
    }
    ~Rig()
    {
        m_gateways.clear();
        removeWorkFolder();
    }
    Store &store() { return m_store; }
    const std::string &folder() const { return m_folder; }
    std::vector<std::unique_ptr<Gateway>> &gateways() { return m_gateways; }
    void startGateways(int count)
    {
        std::vector<std::string> seeds;
        for (int index = 0; index < count; ++index) {
            const std::string number = std::to_string(index + 1);
            m_gateways.push_back(std::make_unique<Gateway>(
                m_folder, "front-" + number, "zone-a", m_store.endpoint(), seeds));
            if (seeds.size() < 3) {
                seeds.push_back(m_gateways.back()->control());
            }
        }
        const std::int64_t deadline = nowMs() + 20000;
        for (auto &gateway : m_gateways) {
            while (!gateway->isReady()) {
                if (!gateway->isRunning() || nowMs() > deadline) {
                    notRun(gateway->name() + " did not become ready");
                }
                sleepMs(50);
            }
        }
        record().line(std::to_string(count) + " gateways are ready");
    }

private:
    std::string m_folder;
    Store m_store;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
};

/// Sends one request of a requester on a new connection.
inline Message ask(int port, const std::string &method, const std::string &path,
                   const Headers &headers, const std::string &body, std::int64_t timeout)
{
    const auto connection = Connection::open(port);
    if (!connection) {
        return {};
    }
    Headers all = {{"Host", "desk.example"}};
    all.insert(all.end(), headers.begin(), headers.end());
    connection->send(writeMessage(method + " " + path + " HTTP/1.1", all, body));
    return connection->read(timeout);
}

/// \return entry of a worker in the store
inline std::string workerEntry(const std::string &service, const std::string &endpoint,
                               const std::string &state, int slots, std::uint64_t sequence,
                               std::int64_t born)
{
    return "{\"service\":\"" + service + "\",\"address\":\"" + endpoint
        + "\",\"zone\":\"zone-a\",\"version\":\"1\",\"slots\":" + std::to_string(slots)
        + ",\"state\":\"" + state + "\",\"coldRemainingMs\":0,\"sequence\":"
        + std::to_string(sequence) + ",\"born\":" + std::to_string(born) + "}";
}

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

[[noreturn]] inline void notRun(const std::string &reason)
{
    record().line("the case could not run: " + reason);
    std::cout << "could not run: " << reason << std::endl;
    for (const pid_t child : children()) {
        kill(child, SIGKILL);
    }
    removeWorkFolder();
    std::_Exit(ExitNotRun);
}

} // namespace kit
