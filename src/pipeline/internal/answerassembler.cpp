#include "pipeline/internal/answerassembler.h"

#include "protocol/types/stagechunk.h"
#include "protocol/types/stageresult.h"

namespace lavendertally::pipeline {

namespace {

constexpr std::size_t MaxOutOfOrderChunks = 1024;

} // namespace

AnswerAssembler::AnswerAssembler(framework::AttemptId attempt) : m_attempt(attempt) { }

std::string AnswerAssembler::accept(const protocol::StageChunk &chunk)
{
    const bool isDuplicate =
        chunk.sequence < m_nextSequence || m_outOfOrder.contains(chunk.sequence);
    if (chunk.attempt != m_attempt || isDuplicate || m_outOfOrder.size() >= MaxOutOfOrderChunks) {
        ++m_dropped;
        return {};
    }
    m_outOfOrder.emplace(chunk.sequence, BufferedChunk{chunk.text, chunk.tokens});
    std::string inOrderText;
    for (auto buffered = m_outOfOrder.find(m_nextSequence); buffered != m_outOfOrder.end();
         buffered = m_outOfOrder.find(m_nextSequence)) {
        inOrderText += buffered->second.text;
        m_tokens += buffered->second.tokens;
        m_outOfOrder.erase(buffered);
        ++m_nextSequence;
    }
    m_text += inOrderText;
    return inOrderText;
}

bool AnswerAssembler::isComplete(const protocol::StageResult &result) const
{
    return result.attempt == m_attempt && result.chunks == m_nextSequence;
}

} // namespace lavendertally::pipeline
