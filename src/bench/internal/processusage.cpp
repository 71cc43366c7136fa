#include "bench/internal/processusage.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace lavendertally::bench {

namespace {

constexpr std::int64_t MicrosPerSecond = 1000000;
/// Fields between the command and utime in /proc/PID/stat, per proc(5).
constexpr int FieldsBeforeUserTime = 11;

} // namespace

ProcessUsage ProcessUsage::of(pid_t pid)
{
    const std::string folder = "/proc/" + std::to_string(pid);
    std::ifstream statFile(folder + "/stat");
    std::string line;
    std::getline(statFile, line);
    std::istringstream fields(line.substr(line.rfind(')') + 1));
    std::string skipped;
    for (int i = 0; i < FieldsBeforeUserTime; ++i) {
        fields >> skipped;
    }
    std::int64_t user = 0;
    std::int64_t system = 0;
    fields >> user >> system;
    std::ifstream memoryFile(folder + "/statm");
    std::int64_t pages = 0;
    std::int64_t residentPages = 0;
    memoryFile >> pages >> residentPages;
    ProcessUsage usage;
    usage.processorMicros = (user + system) * (MicrosPerSecond / sysconf(_SC_CLK_TCK));
    usage.resident = framework::Bytes(residentPages * sysconf(_SC_PAGESIZE));
    return usage;
}

} // namespace lavendertally::bench
