#pragma once

#include "configuration/types/operatorchange.h"
#include "framework/asyncerror.h"
#include "framework/types/errorcontext.h"
#include "operatortool/ioperatorclient.h"
#include "operatortool/types/toolerror.h"

#include <deque>
#include <utility>
#include <vector>

namespace lavendertally::operatortool {

/// Client that answers as told, one outcome a submission; then that the entry is unreachable.
class FakeOperatorClient final : public IOperatorClient
{
public:
    void
    readRevision(framework::Milliseconds /*timeout*/,
                 std::function<void(framework::Result<framework::LogOffset>)> callback) override
    {
        if (!m_reachable) {
            callback(framework::asyncError<framework::LogOffset>(
                ToolError::Unavailable, framework::ErrorContext{"unreachable"}));
            return;
        }
        callback(m_revision);
    }

    void submit(const configuration::OperatorChange &change, framework::Milliseconds /*timeout*/,
                std::function<void(ChangeOutcome)> callback) override
    {
        m_changes.push_back(change);
        ChangeOutcome outcome{ChangeStatus::NotApplied, {}, "unreachable", {}};
        if (!m_outcomes.empty()) {
            outcome.status = m_outcomes.front();
            m_outcomes.pop_front();
        }
        callback(outcome);
    }

    void readStatus(framework::Milliseconds /*timeout*/,
                    std::function<void(framework::Result<std::string>)> callback) override
    {
        readDump({}, {}, std::move(callback));
    }

    void readDump(const framework::Endpoint & /*daemon*/, framework::Milliseconds /*timeout*/,
                  std::function<void(framework::Result<std::string>)> callback) override
    {
        if (!m_reachable) {
            callback(framework::asyncError<std::string>(ToolError::Unavailable,
                                                        framework::ErrorContext{"unreachable"}));
            return;
        }
        callback(m_document);
    }

    void readConfiguration(const framework::Endpoint &gateway, framework::Milliseconds timeout,
                           std::function<void(framework::Result<std::string>)> callback) override
    {
        readDump(gateway, timeout, std::move(callback));
    }

    bool m_reachable = true;
    framework::LogOffset m_revision{7};
    std::deque<ChangeStatus> m_outcomes;
    std::string m_document = "{}";
    std::vector<configuration::OperatorChange> m_changes;
};

} // namespace lavendertally::operatortool
