#include "standins/commonarguments.h"
#include "standins/poolstandin.h"
#include "standins/standinprogram.h"

using namespace lavendertally;
using namespace lavendertally::standins;

namespace {

bool setKind(const std::string &name, PoolKind &kind)
{
    if (name == "encode") {
        kind = PoolKind::Encode;
    } else if (name == "retrieve") {
        kind = PoolKind::Retrieve;
    } else if (name == "rerank") {
        kind = PoolKind::Rerank;
    } else {
        return false;
    }
    return true;
}

} // namespace

int main(int argc, char **argv)
{
    ServiceOptions options;
    PoolKind kind = PoolKind::Encode;
    StandInProgram program("standinpool");
    program.add("kind", "encode, retrieve or rerank",
                [&](const std::string &name) { return setKind(name, kind); });
    CommonArguments::addService(program, options);
    return program.run(argc, argv, [&](framework::IEventLoop &loop) {
        return std::make_unique<PoolStandIn>(loop, kind, options);
    });
}
