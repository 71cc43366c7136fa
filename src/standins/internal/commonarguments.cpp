#include "standins/commonarguments.h"

#include "standins/standinprogram.h"
#include "standins/types/serviceoptions.h"

namespace lavendertally::standins {

void CommonArguments::addColdStart(StandInProgram &program, ColdStartOptions &options)
{
    program.addSwitch("start-cold", "on or off: whether it starts cold", options.startsCold);
    program.addNumber("cold-limit", "calls at once that it bears while cold", options.limit);
    program.addNumber("warm-after-calls", "completed calls after which it is warm",
                      options.warmAfterCalls);
    program.addDuration("warm-after", "time after which it is warm; 0 means never",
                        options.warmAfter);
    program.addDuration("recovery", "time for which it is not ready after an overload",
                        options.recovery);
    program.addNumber("cold-slowdown", "times as long that a call takes while cold",
                      options.slowdown);
}

void CommonArguments::addService(StandInProgram &program, ServiceOptions &options)
{
    program.addDuration("service-ms", "time that a call takes", options.serviceTime);
    program.addNumber("capacity", "calls that run at once", options.capacity);
    program.addNumber("queue-limit", "calls that wait; more are refused", options.queueLimit);
    program.addDuration("report-lag", "age of the load figures", options.reportLag);
    addColdStart(program, options.coldStart);
}

} // namespace lavendertally::standins
