#pragma once

#include "claims/iclaimservice.h"

#include <functional>
#include <string>
#include <vector>

namespace lavendertally::pipeline {

/// Claim service whose claims are answered by the test.
class FakeClaimService final : public claims::IClaimService
{
public:
    void claim(const claims::ClaimRequest & /*request*/,
               std::function<void(claims::ClaimAnswer)> callback) override
    {
        m_pending.push_back(std::move(callback));
    }
    void recordDone(const claims::ClaimKey & /*key*/, const std::string &result) override
    {
        m_done.push_back(result);
    }
    void recordNotRun(const claims::ClaimKey & /*key*/) override { ++m_notRun; }

    void answer(claims::ClaimOutcome outcome, const std::string &result = {})
    {
        const auto callback = std::move(m_pending.back());
        m_pending.pop_back();
        callback({outcome, result});
    }

    std::vector<std::function<void(claims::ClaimAnswer)>> m_pending;
    std::vector<std::string> m_done;
    int m_notRun = 0;
};

} // namespace lavendertally::pipeline
