#pragma once

#include "framework/types/ids.h"

#include <string>

namespace lavendertally::pipeline {
struct CallerAnswer;
}

namespace lavendertally::frontend {

/// Writes answers to callers as JSON and HTTP status codes.
class AnswerWriter
{
public:
    /// \return HTTP status code of \p answer
    static int status(const pipeline::CallerAnswer &answer);

    /// \return JSON object; its result is spliced in as it is
    static std::string json(const framework::RequestId &requestId,
                            const pipeline::CallerAnswer &answer);

    /// \return `done`, `not_run` or `unknown`
    static const char *outcomeName(const pipeline::CallerAnswer &answer);
};

} // namespace lavendertally::frontend
