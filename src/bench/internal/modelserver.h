#pragma once

#include "routing/types/serverload.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lavendertally::bench {

struct ModelRequest;

/// Speed and memory of one model server.
struct ModelServerSpec
{
    std::size_t zone = 0;
    double tokensPerMs = 100.0;
    double stepMs = 3.0;
    std::int64_t memoryTokens = 500000;
    /// Spells in which everything takes longer, as (begin, end), in their order.
    std::vector<std::pair<double, double>> slowSpells;
};

/// A model server that works in steps: each gives one token to every running request and reads one
/// chunk of the prompt that is being read.
class ModelServer
{
public:
    /// What a step has brought for one request.
    struct Event
    {
        std::size_t request = 0;
        bool isLast = false;
        /// The client has given up before anything was read.
        bool isGivenUp = false;
    };

    explicit ModelServer(ModelServerSpec spec) : m_spec(std::move(spec)) { }

    /// \param index number of \p request, given back in its events; \p request outlives the server
    void add(std::size_t index, const ModelRequest &request);
    bool isIdle() const { return m_running.empty() && !m_isReading && m_waiting.empty(); }
    /// Begins a step.
    /// \return its duration in milliseconds
    double beginStep(double now);
    /// Ends the step that was begun.
    std::vector<Event> endStep();

    routing::ServerLoad load(double now) const;
    const ModelServerSpec &spec() const { return m_spec; }
    double slowdown(double now) const;
    std::size_t running() const { return m_running.size(); }
    std::size_t waiting() const { return m_waiting.size(); }
    /// \return prompt tokens that are waiting to be read
    double unreadTokens() const;
    /// \return tokens of the beginning of \p request that need not be read
    std::int64_t keptTokens(const ModelRequest &request) const;
    /// \return prompt tokens that were read
    std::int64_t readTokens() const { return m_readTokens; }
    /// \return the part of them that belongs to parts shared by several requests
    std::int64_t readSharedTokens() const { return m_readSharedTokens; }
    double busyMs() const { return m_busyMs; }

private:
    struct Running
    {
        std::size_t index = 0;
        const ModelRequest *request = nullptr;
        std::int64_t tokens = 0;
    };
    struct Part
    {
        std::int64_t tokens = 0;
        std::uint32_t users = 0;
        std::uint64_t lastUse = 0;
    };

    void dropGivenUp(double now);
    void startReading();
    bool makeRoom(std::int64_t tokens);
    void usePart(std::uint64_t id, std::int64_t tokens);
    void releaseParts(const ModelRequest &request);

    ModelServerSpec m_spec;
    std::deque<Running> m_waiting;
    std::vector<Event> m_givenUp;
    std::vector<Running> m_running;
    Running m_reading;
    bool m_isReading = false;
    std::int64_t m_unread = 0;
    std::int64_t m_chunk = 0;
    std::unordered_map<std::uint64_t, Part> m_parts;
    /// Parts that no request uses, by their last use.
    std::map<std::uint64_t, std::uint64_t> m_unused;
    std::uint64_t m_uses = 0;
    std::int64_t m_held = 0;
    std::int64_t m_readTokens = 0;
    std::int64_t m_readSharedTokens = 0;
    double m_busyMs = 0.0;
};

} // namespace lavendertally::bench
