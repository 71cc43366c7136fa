#include "standins/standinprogram.h"
#include "standins/weightstandin.h"

using namespace lavendertally;
using namespace lavendertally::standins;

int main(int argc, char **argv)
{
    WeightOptions options;
    std::uint32_t bytes = 64 * 1024;
    StandInProgram program("standinweights");
    program.addNumber("bytes", "size of a model's weights", bytes);
    program.addNumber("downloads-per-second", "downloads accepted within any second",
                      options.downloadsPerSecond);
    return program.run(argc, argv, [&](framework::IEventLoop &loop) {
        options.size = framework::Bytes(bytes);
        return std::make_unique<WeightStandIn>(loop, options);
    });
}
