#pragma once

#include "framework/types/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lavendertally::configuration {
struct Stage;
}

namespace lavendertally::pipeline {

/// Collects stage results and builds the payload of a stage: the input of the caller and the
/// results of the stages it depends on.
class PayloadBuilder
{
public:
    /// \param input JSON value
    explicit PayloadBuilder(std::string input);

    /// \param result JSON value
    void addResult(const framework::StageId &stage, std::string result);

    /// \return payload for \p stage, as protocol::StageRequest::payload describes it
    std::string build(const configuration::Stage &stage) const;

    /// \return hash of the beginning of the input; requests with equal hashes are likely to share a
    /// cached prefix in an engine
    std::uint64_t prefixHash() const;

private:
    struct StageOutput
    {
        framework::StageId stage;
        std::string result;
    };

    std::string m_input;
    std::vector<StageOutput> m_outputs;
};

} // namespace lavendertally::pipeline
