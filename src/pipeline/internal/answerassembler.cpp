#include "pipeline/internal/answerassembler.h"

#include "protocol/types/stagechunk.h"
#include "protocol/types/stageresult.h"

namespace lavendertally::pipeline {

namespace {

constexpr std::size_t MaxEarlyChunks = 1024;

} // namespace

AnswerAssembler::AnswerAssembler(framework::AttemptId attempt) : m_attempt(attempt) { }

std::string AnswerAssembler::accept(const protocol::StageChunk &chunk)
{
    const bool isCopy = chunk.sequence < m_next || m_early.contains(chunk.sequence);
    if (chunk.attempt != m_attempt || isCopy || m_early.size() >= MaxEarlyChunks) {
        ++m_dropped;
        return {};
    }
    m_early.emplace(chunk.sequence, Part{chunk.text, chunk.tokens});
    std::string released;
    for (auto part = m_early.find(m_next); part != m_early.end(); part = m_early.find(m_next)) {
        released += part->second.text;
        m_tokens += part->second.tokens;
        m_early.erase(part);
        ++m_next;
    }
    m_text += released;
    return released;
}

bool AnswerAssembler::isWhole(const protocol::StageResult &result) const
{
    return result.attempt == m_attempt && result.chunks == m_next;
}

} // namespace lavendertally::pipeline
