#include "standins/commonarguments.h"
#include "standins/modelenginestandin.h"
#include "standins/standinprogram.h"

using namespace lavendertally;
using namespace lavendertally::standins;

int main(int argc, char **argv)
{
    EngineOptions options;
    StandInProgram program("standinengine");
    program.addText("model", "model that it serves", options.model);
    program.addDuration("token-interval-ms", "time of a step of a batch of one",
                        options.tokenInterval);
    program.addNumber("batch-slowdown-percent", "percent that each further sequence adds to a step",
                      options.batchSlowdownPercent);
    program.addDuration("prefill-ms", "time of a prefill", options.prefillTime);
    program.addNumber("cached-prefill-percent", "percent of it that remains on a cache hit",
                      options.cachedPrefillPercent);
    program.addNumber("answer-tokens", "tokens after which an answer ends by itself; 0: none",
                      options.answerTokens);
    program.addNumber("max-batch", "sequences that run at once", options.maxBatch);
    program.addNumber("queue-limit", "sequences that wait; more are refused", options.queueLimit);
    program.addNumber("prefix-bytes", "bytes of the prompt that make up its prefix",
                      options.prefixBytes);
    program.addNumber("cache-entries", "prefixes that the cache holds", options.cacheEntries);
    program.addDuration("cache-event-delay", "time before a cache event can be read",
                        options.cacheEventDelay);
    program.addNumber("cache-event-gap", "loses each cache event with a multiple of this number",
                      options.cacheEventGap);
    program.addSwitch("check-fencing", "on or off: refuse orders with an old fencing number",
                      options.checksFencing);
    program.addDuration("report-lag", "age of the load figures", options.reportLag);
    program.addText("deadly-word", "crashes on prompts that contain it; empty: on none",
                    options.deadlyWord);
    program.addDuration("down-ms", "time after a crash until it listens again", options.downTime);
    CommonArguments::addColdStart(program, options.coldStart);
    return program.run(argc, argv, [&](framework::IEventLoop &loop) {
        return std::make_unique<ModelEngineStandIn>(loop, options);
    });
}
