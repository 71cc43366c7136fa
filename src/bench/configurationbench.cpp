#include "configuration/configurationmodule.h"
#include "configuration/iconfigurationparser.h"
#include "configuration/iconfigurationreplica.h"
#include "configuration/icontrolrecordcodec.h"
#include "configuration/types/configurationview.h"

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <string>
#include <vector>

using namespace lavendertally;
using namespace lavendertally::configuration;

namespace {

constexpr int TeamCounts[] = {100, 1000, 3000, 8100};
constexpr int TeamsPerFile = 100;
constexpr int Changes = 100;

std::string teamFile(int first, int count, int share)
{
    std::string text = "teams:\n";
    for (int i = 0; i < count; ++i) {
        text += "  - {name: team-" + std::to_string(first + i)
            + ", share: " + std::to_string(1 + (share + i) % 8) + "}\n";
    }
    return text;
}

std::string teamFileName(int first)
{
    return "teams-" + std::to_string(first) + ".yaml";
}

std::map<std::string, std::string> allFiles(int teams)
{
    std::map<std::string, std::string> files;
    files["services.yaml"] = "availability_zones: [a, b, c, d]\nservices:\n"
                             "  - {name: enc, kind: encode, concurrency: 8, cost_per_hour: 1}\n";
    for (int first = 0; first < teams; first += TeamsPerFile) {
        files[teamFileName(first)] = teamFile(first, TeamsPerFile, 0);
    }
    return files;
}

/// \return milliseconds that \p work takes, on average of \p times runs
double millisecondsOf(int times, const std::function<void(int)> &work)
{
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < times; ++i) {
        work(i);
    }
    const std::chrono::duration<double, std::milli> elapsed =
        std::chrono::steady_clock::now() - start;
    return elapsed.count() / times;
}

ControlRecord changeRecord(const IControlRecordCodec &codec, std::uint64_t offset,
                           const std::map<std::string, std::string> &files)
{
    const ApplyFiles change{framework::LogOffset(offset), {files.begin(), files.end()}};
    const OperatorChange operation{framework::OperationId("op-" + std::to_string(offset)), change};
    return {framework::LogOffset(offset), codec.encode(operation).value()};
}

void measure(int teams)
{
    const auto codec = ConfigurationModule::makeRecordCodec();
    const auto replica = ConfigurationModule::makeReplica();
    const auto parser = ConfigurationModule::makeParser();
    const auto files = allFiles(teams);
    std::vector<ControlRecord> records = {changeRecord(*codec, 0, files)};
    const double first =
        millisecondsOf(1, [&](int /*run*/) { (void)replica->applyRecords(records); });
    for (int i = 0; i < Changes; ++i) {
        const int start = (i * TeamsPerFile) % teams;
        records.push_back(changeRecord(
            *codec, 1 + i, {{teamFileName(start), teamFile(start, TeamsPerFile, 1 + i)}}));
    }
    const double change =
        millisecondsOf(Changes, [&](int run) { (void)replica->applyRecords({records[1 + run]}); });
    const std::string snapshot = replica->snapshot();
    const double restore = millisecondsOf(
        5, [&](int /*run*/) { (void)ConfigurationModule::makeReplica()->restore(snapshot); });
    const double whole = millisecondsOf(5, [&](int /*run*/) { (void)parser->parse(files); });
    std::printf("%6d %10.2f %12.2f %12.2f %12.2f %10zu %12zu\n", teams, first, change, whole,
                restore, records.back().data.size(), snapshot.size());
}

} // namespace

/// Prints the cost of configuration changes over the number of teams.
int main()
{
    std::printf("%6s %10s %12s %12s %12s %10s %12s\n", "teams", "first_ms", "change_ms",
                "reparse_ms", "restore_ms", "change_B", "snapshot_B");
    for (const int teams : TeamCounts) {
        measure(teams);
    }
    return 0;
}
