#pragma once

#include "framework/types/milliseconds.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace lavendertally::localfleet {

/// A program started by a test or the demo. It is killed when this object is destroyed.
class ChildProcess
{
public:
    /// Where standard output goes.
    enum class Output
    {
        /// To waitForLine().
        Kept,
        LogFile,
    };

    /// \param logFile gets what the program writes to standard error
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                 const std::string &logFile, Output output = Output::Kept);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// \return the next line of standard output that starts with \p prefix, or nothing when the
    /// output ends or the time runs out first
    std::optional<std::string> waitForLine(const std::string &prefix,
                                           framework::Milliseconds timeout);

    void signal(int number);

    /// \return exit status as the shell gives it, or nothing when the program still runs
    std::optional<int> wait(framework::Milliseconds timeout);

    pid_t pid() const { return m_pid; }

private:
    pid_t m_pid = -1;
    int m_output = -1;
    std::string m_buffer;
    std::optional<int> m_status;
};

} // namespace lavendertally::localfleet
