#pragma once

#include "framework/types/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lavendertally::configuration {
struct Stage;
}

namespace lavendertally::pipeline {

/// Collects results and composes what a stage gets: the caller's input and the results of the
/// stages that it needs.
class PayloadBuilder
{
public:
    /// \param input JSON value
    explicit PayloadBuilder(std::string input);

    /// \param result JSON value
    void addResult(const framework::StageId &stage, std::string result);

    /// \return payload for \p stage, as protocol::StageRequest::payload describes it
    std::string build(const configuration::Stage &stage) const;

    /// \return hash of the input's beginning; requests that share it are likely to share an
    /// engine's cached prefix
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
