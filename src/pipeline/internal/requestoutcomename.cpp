#include "pipeline/requestoutcomename.h"

namespace lavendertally::pipeline {

const char *requestOutcomeName(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::Done:
        return "done";
    case RequestOutcome::NotRun:
        return "not_run";
    case RequestOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace lavendertally::pipeline
