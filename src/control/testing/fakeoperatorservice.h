#pragma once

#include "configuration/configurationmodule.h"
#include "configuration/iconfigurationreplica.h"
#include "configuration/icontrolrecordcodec.h"
#include "configuration/types/configurationview.h"
#include "control/ioperatorservice.h"
#include "control/types/operatorerror.h"
#include "framework/asyncerror.h"

#include <functional>
#include <optional>

namespace lavendertally::control {

/// Applies each change to the replica directly, or fails with m_error.
class FakeOperatorService final : public IOperatorService
{
public:
    explicit FakeOperatorService(configuration::IConfigurationReplica &replica) : m_replica(replica)
    { }

    void submit(
        const configuration::OperatorChange &change, framework::Milliseconds timeout,
        std::function<void(framework::Result<configuration::OperationOutcome>)> callback) override
    {
        ++m_submitted;
        m_timeout = timeout;
        if (m_error) {
            callback(framework::asyncError<configuration::OperationOutcome>(*m_error));
            return;
        }
        const auto codec = configuration::ConfigurationModule::makeRecordCodec();
        (void)m_replica.applyRecords(
            {{m_replica.current()->revision, codec->encode(change).value()}});
        callback(m_replica.outcome(change.operation).value());
    }

    int m_submitted = 0;
    framework::Milliseconds m_timeout;
    std::optional<OperatorError> m_error;

private:
    configuration::IConfigurationReplica &m_replica;
};

} // namespace lavendertally::control
