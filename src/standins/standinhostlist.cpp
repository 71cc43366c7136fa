#include "standins/hostliststandin.h"
#include "standins/standinprogram.h"

using namespace lavendertally;
using namespace lavendertally::standins;

int main(int argc, char **argv)
{
    HostListOptions options;
    StandInProgram program("standinhostlist");
    program.addDuration("lag", "age of the list that is answered", options.lag);
    return program.run(argc, argv, [&](framework::IEventLoop &loop) {
        return std::make_unique<HostListStandIn>(loop, options);
    });
}
