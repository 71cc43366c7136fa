#pragma once

#include "framework/types/ids.h"

#include <string>

namespace lavendertally::pipeline {
struct CallerAnswer;
}

namespace lavendertally::frontend {

/// Converts answers to callers into JSON and HTTP status codes.
class AnswerWriter
{
public:
    /// \return HTTP status code of \p answer
    static int status(const pipeline::CallerAnswer &answer);

    /// \return JSON object; the result, itself serialized JSON, is inserted unchanged
    static std::string json(const framework::RequestId &requestId,
                            const pipeline::CallerAnswer &answer);

    /// \return `done`, `not_run` or `unknown`
    static const char *outcomeName(const pipeline::CallerAnswer &answer);
};

} // namespace lavendertally::frontend
