#include "standins/logstandin.h"
#include "standins/standinprogram.h"

using namespace lavendertally;
using namespace lavendertally::standins;

int main(int argc, char **argv)
{
    LogOptions options;
    StandInProgram program("standinlog");
    program.addNumber("retention-records", "records kept in each stream", options.retentionRecords);
    program.addDuration("retention-time", "time for which a record is kept; 0 means for ever",
                        options.retentionTime);
    program.addNumber("appends-per-second", "appends accepted within any second",
                      options.appendsPerSecond);
    program.addDuration("lag", "age of the state that reads are answered from", options.lag);
    return program.run(argc, argv, [&](framework::IEventLoop &loop) {
        return std::make_unique<LogStandIn>(loop, options);
    });
}
