#include "bench/internal/modelserver.h"

#include "bench/internal/modelrequest.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lavendertally::bench {

namespace {

constexpr std::size_t Slots = 64;
constexpr std::int64_t ChunkTokens = 1024;
constexpr double MsPerRunning = 0.02;
constexpr double MsPerHeldToken = 1e-6;
constexpr double SpellSlowdown = 2.5;
constexpr double Percent = 100.0;

} // namespace

void ModelServer::add(std::size_t index, const ModelRequest &request)
{
    m_waiting.push_back({index, &request, 0});
}

double ModelServer::slowdown(double now) const
{
    const auto after = std::upper_bound(m_spec.slowSpells.begin(), m_spec.slowSpells.end(),
                                        std::pair(now, HUGE_VAL));
    return after != m_spec.slowSpells.begin() && now < std::prev(after)->second ? SpellSlowdown
                                                                                : 1.0;
}

std::int64_t ModelServer::keptTokens(const ModelRequest &request) const
{
    std::int64_t kept = 0;
    for (const routing::PromptPart &part : request.parts) {
        if (!m_parts.contains(part.id.value())) {
            break;
        }
        kept += part.tokens.value();
    }
    return kept;
}

bool ModelServer::makeRoom(std::int64_t tokens)
{
    while (m_held + tokens > m_spec.memoryTokens && !m_unused.empty()) {
        const auto oldest = m_unused.begin();
        const auto part = m_parts.find(oldest->second);
        m_held -= part->second.tokens;
        m_parts.erase(part);
        m_unused.erase(oldest);
    }
    return m_held + tokens <= m_spec.memoryTokens;
}

void ModelServer::usePart(std::uint64_t id, std::int64_t tokens)
{
    const auto [position, isNew] = m_parts.try_emplace(id);
    Part &part = position->second;
    if (isNew) {
        part.tokens = tokens;
        m_held += tokens;
    } else if (part.users == 0) {
        m_unused.erase(part.lastUse);
    }
    ++part.users;
}

void ModelServer::releaseParts(const ModelRequest &request)
{
    // The last part first, so that it is evicted before those that it depends on.
    const auto release = [this](const routing::PromptPart &used) {
        Part &part = m_parts.at(used.id.value());
        if (--part.users == 0) {
            part.lastUse = ++m_uses;
            m_unused.emplace(part.lastUse, used.id.value());
        }
    };
    std::for_each(request.parts.rbegin(), request.parts.rend(), release);
    m_held -= request.outputTokens;
}

void ModelServer::dropGivenUp(double now)
{
    std::erase_if(m_waiting, [this, now](const Running &waiting) {
        const bool isGivenUp = now > waiting.request->atMs + waiting.request->timeoutMs;
        if (isGivenUp) {
            m_givenUp.push_back({waiting.index, true, true});
        }
        return isGivenUp;
    });
}

void ModelServer::startReading()
{
    if (m_isReading || m_waiting.empty() || m_running.size() >= Slots) {
        return;
    }
    const ModelRequest &request = *m_waiting.front().request;
    const std::int64_t kept = keptTokens(request);
    // The kept parts are in use before room is made, so that they are not evicted.
    std::size_t keptParts = 0;
    std::int64_t counted = 0;
    while (counted < kept) {
        usePart(request.parts[keptParts].id.value(), request.parts[keptParts].tokens.value());
        counted += request.parts[keptParts++].tokens.value();
    }
    if (!makeRoom(request.promptTokens - kept + request.outputTokens)) {
        for (std::size_t index = 0; index < keptParts; ++index) {
            Part &part = m_parts.at(request.parts[index].id.value());
            if (--part.users == 0) {
                part.lastUse = ++m_uses;
                m_unused.emplace(part.lastUse, request.parts[index].id.value());
            }
        }
        return;
    }
    for (std::size_t index = keptParts; index < request.parts.size(); ++index) {
        usePart(request.parts[index].id.value(), request.parts[index].tokens.value());
        m_readSharedTokens +=
            index + 1 < request.parts.size() ? request.parts[index].tokens.value() : 0;
    }
    m_held += request.outputTokens;
    m_reading = m_waiting.front();
    m_waiting.pop_front();
    m_isReading = true;
    m_unread = std::max<std::int64_t>(request.promptTokens - kept, 1);
    m_readTokens += m_unread;
}

double ModelServer::beginStep(double now)
{
    dropGivenUp(now);
    startReading();
    m_chunk = m_isReading ? std::min(m_unread, ChunkTokens) : 0;
    const double step = m_spec.stepMs + MsPerRunning * static_cast<double>(m_running.size())
        + MsPerHeldToken * static_cast<double>(m_held);
    const double duration =
        (step + static_cast<double>(m_chunk) / m_spec.tokensPerMs) * slowdown(now);
    m_busyMs += duration;
    return duration;
}

std::vector<ModelServer::Event> ModelServer::endStep()
{
    std::vector<Event> events = std::exchange(m_givenUp, {});
    for (Running &running : m_running) {
        ++running.tokens;
        const bool isLast = running.tokens == running.request->outputTokens;
        if (isLast || running.tokens % running.request->tokensPerEvent == 0) {
            events.push_back({running.index, isLast});
        }
    }
    std::erase_if(m_running, [this](const Running &running) {
        const bool isDone = running.tokens == running.request->outputTokens;
        if (isDone) {
            releaseParts(*running.request);
        }
        return isDone;
    });
    m_unread -= m_chunk;
    if (m_isReading && m_unread <= 0) {
        m_running.push_back(m_reading);
        m_isReading = false;
    }
    return events;
}

routing::ServerLoad ModelServer::load(double now) const
{
    routing::ServerLoad load;
    load.running = static_cast<std::uint32_t>(m_running.size() + (m_isReading ? 1 : 0));
    load.waiting = static_cast<std::uint32_t>(m_waiting.size());
    load.slots = Slots;
    load.workTimePercent = static_cast<std::uint32_t>(slowdown(now) * Percent);
    return load;
}

double ModelServer::unreadTokens() const
{
    double sum = m_isReading ? static_cast<double>(m_unread) : 0.0;
    for (const Running &waiting : m_waiting) {
        sum += static_cast<double>(waiting.request->promptTokens - keptTokens(*waiting.request));
    }
    return sum;
}

} // namespace lavendertally::bench
