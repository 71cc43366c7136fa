#pragma once

#include "protocol/types/stagerequest.h"
#include "transport/istagecall.h"
#include "transport/istagecallobserver.h"
#include "transport/istageclient.h"

#include <memory>
#include <vector>

namespace lavendertally::pipeline {

/// Stage client whose calls are answered by the test.
class FakeStageClient final : public transport::IStageClient
{
public:
    struct Sent
    {
        framework::Endpoint endpoint;
        protocol::StageRequest request;
        /// Null once the call was destroyed.
        transport::IStageCallObserver *observer;
        bool isPaused = false;
    };

    std::unique_ptr<transport::IStageCall> send(const framework::Endpoint &endpoint,
                                                const protocol::StageRequest &request,
                                                transport::IStageCallObserver &observer) override
    {
        m_sent.push_back(std::make_shared<Sent>(Sent{endpoint, request, &observer}));
        return std::make_unique<Call>(m_sent.back());
    }

    std::size_t count() const { return m_sent.size(); }
    const Sent &sent(std::size_t index) const { return *m_sent[index]; }
    bool isCancelled(std::size_t index) const { return m_sent[index]->observer == nullptr; }

    void chunk(std::size_t index, std::uint64_t sequence, const std::string &text) const
    {
        const Sent &call = *m_sent[index];
        call.observer->onChunk({call.request.attempt, sequence, framework::TokenCount(1), text});
    }

    void answer(std::size_t index, protocol::StageResult result) const
    {
        const Sent &call = *m_sent[index];
        result.attempt = call.request.attempt;
        result.load.limit = 1;
        call.observer->onResult(result);
    }

    void answerDone(std::size_t index, const std::string &payload) const
    {
        protocol::StageResult result;
        result.status = protocol::StageStatus::Done;
        result.payload = payload;
        answer(index, result);
    }

    void answerFailed(std::size_t index, protocol::StageStatus status,
                      protocol::RefusalReason reason = protocol::RefusalReason::None) const
    {
        protocol::StageResult result;
        result.status = status;
        result.reason = reason;
        answer(index, result);
    }

    /// The call was lost before its answer began, since the backend server crashed.
    void answerCrashed(std::size_t index, framework::CrashId crash) const
    {
        protocol::StageResult result;
        result.status = protocol::StageStatus::Unknown;
        result.crash = crash;
        answer(index, result);
    }

private:
    class Call final : public transport::IStageCall
    {
    public:
        explicit Call(std::shared_ptr<Sent> sent) : m_sent(std::move(sent)) { }
        ~Call() override { m_sent->observer = nullptr; }
        Call(const Call &) = delete;
        Call &operator=(const Call &) = delete;

        void pauseReading() override { m_sent->isPaused = true; }
        void resumeReading() override { m_sent->isPaused = false; }

    private:
        std::shared_ptr<Sent> m_sent;
    };

    std::vector<std::shared_ptr<Sent>> m_sent;
};

} // namespace lavendertally::pipeline
