#pragma once

#include "framework/types/ids.h"
#include "framework/types/units.h"

#include <cstdint>
#include <map>
#include <string>

namespace lavendertally::protocol {
struct StageChunk;
struct StageResult;
} // namespace lavendertally::protocol

namespace lavendertally::pipeline {

/// Reassembles the chunks of one attempt in order. Chunks of other attempts, duplicates and chunks
/// beyond the limit of buffered ones are dropped and counted.
class AnswerAssembler
{
public:
    explicit AnswerAssembler(framework::AttemptId attempt);

    /// \return text that has become available in order; empty while an earlier chunk is missing
    std::string accept(const protocol::StageChunk &chunk);

    /// \return whether \p result belongs to this attempt and all its chunks have been returned
    bool isComplete(const protocol::StageResult &result) const;

    /// \return all text returned so far
    const std::string &text() const { return m_text; }
    framework::TokenCount tokens() const { return m_tokens; }
    std::uint64_t droppedChunks() const { return m_dropped; }

private:
    struct BufferedChunk
    {
        std::string text;
        framework::TokenCount tokens;
    };

    framework::AttemptId m_attempt;
    std::uint64_t m_nextSequence = 0;
    std::map<std::uint64_t, BufferedChunk> m_outOfOrder;
    std::string m_text;
    framework::TokenCount m_tokens;
    std::uint64_t m_dropped = 0;
};

} // namespace lavendertally::pipeline
