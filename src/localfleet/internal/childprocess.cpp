#include "localfleet/childprocess.h"

#include <csignal>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace lavendertally::localfleet {

namespace {

constexpr int ShellSignalBase = 128;

/// \return whether \p descriptor becomes readable within \p timeout
bool waitReadable(int descriptor, framework::Milliseconds timeout)
{
    pollfd entry{descriptor, POLLIN, 0};
    return poll(&entry, 1, static_cast<int>(timeout.value())) > 0;
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                           const std::string &logFile, Output output)
{
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0) {
        return;
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, logFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    const bool kept = output == Output::Kept;
    posix_spawn_file_actions_adddup2(&actions, kept ? ends[1] : STDERR_FILENO, STDOUT_FILENO);
    std::vector<char *> argv{const_cast<char *>(program.c_str())};
    for (const std::string &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    if (posix_spawn(&m_pid, program.c_str(), &actions, nullptr, argv.data(), environ) != 0) {
        m_pid = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
    m_output = ends[0];
}

ChildProcess::~ChildProcess()
{
    if (m_pid > 0 && !m_status) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
    if (m_output >= 0) {
        close(m_output);
    }
}

std::optional<std::string> ChildProcess::waitForLine(const std::string &prefix,
                                                     framework::Milliseconds timeout)
{
    while (true) {
        for (std::size_t end = m_buffer.find('\n'); end != std::string::npos;
             end = m_buffer.find('\n')) {
            std::string line = m_buffer.substr(0, end);
            m_buffer.erase(0, end + 1);
            if (line.starts_with(prefix)) {
                return line;
            }
        }
        char bytes[4096];
        if (!waitReadable(m_output, timeout)) {
            return std::nullopt;
        }
        const ssize_t count = read(m_output, bytes, sizeof bytes);
        if (count <= 0) {
            return std::nullopt;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
    }
}

void ChildProcess::signal(int number)
{
    if (m_pid > 0 && !m_status) {
        kill(m_pid, number);
    }
}

std::optional<int> ChildProcess::wait(framework::Milliseconds timeout)
{
    if (m_status || m_pid <= 0) {
        return m_status;
    }
    const int descriptor = static_cast<int>(syscall(SYS_pidfd_open, m_pid, 0));
    const bool ended = waitReadable(descriptor, timeout);
    close(descriptor);
    if (!ended) {
        return std::nullopt;
    }
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_status = WIFEXITED(status) ? WEXITSTATUS(status) : ShellSignalBase + WTERMSIG(status);
    return m_status;
}

} // namespace lavendertally::localfleet
