#include "standins/actionstandin.h"
#include "standins/commonarguments.h"
#include "standins/standinprogram.h"

using namespace lavendertally;
using namespace lavendertally::standins;

int main(int argc, char **argv)
{
    ServiceOptions options;
    StandInProgram program("standinaction");
    CommonArguments::addService(program, options);
    return program.run(argc, argv, [&](framework::IEventLoop &loop) {
        return std::make_unique<ActionStandIn>(loop, options);
    });
}
