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

/// Puts the chunks of one attempt in order. Chunks of other attempts and second copies are
/// dropped and counted.
class AnswerAssembler
{
public:
    explicit AnswerAssembler(framework::AttemptId attempt);

    /// \return text that is next in order now; empty while an earlier chunk is missing
    std::string accept(const protocol::StageChunk &chunk);

    /// \return whether every chunk that \p result counts has been handed out
    bool isWhole(const protocol::StageResult &result) const;

    /// \return text handed out so far
    const std::string &text() const { return m_text; }
    framework::TokenCount tokens() const { return m_tokens; }
    std::uint64_t droppedChunks() const { return m_dropped; }

private:
    struct Part
    {
        std::string text;
        framework::TokenCount tokens;
    };

    framework::AttemptId m_attempt;
    std::uint64_t m_next = 0;
    std::map<std::uint64_t, Part> m_early;
    std::string m_text;
    framework::TokenCount m_tokens;
    std::uint64_t m_dropped = 0;
};

} // namespace lavendertally::pipeline
